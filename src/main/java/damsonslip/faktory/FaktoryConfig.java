package damsonslip.faktory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import damsonslip.settings.BadInput;
import damsonslip.settings.Site;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/**
 * The operator's file.
 *
 * @param name          the scheduler's name, under which the store keeps what it holds
 * @param listen        where producers and workers connect
 * @param password      what they have to know, or empty
 * @param store         {@code redis://host:port}, or {@code memory}
 * @param storePassword the store's password, or empty
 * @param console       where the console connects, or empty
 * @param links         how many connections it holds at the most
 * @param site          classes, limits and the figures of the rules
 */
public record FaktoryConfig(String name, String listen, String password, String store, String storePassword,
                            String console, int links, Site site) {
    private static final int LINKS = 800;

    public static FaktoryConfig read(String file) throws BadInput {
        try {
            JsonNode root = new TomlMapper().readTree(Files.readString(Path.of(file)));
            String store = text(root, "store");
            if (!store.equals("memory") && !store.startsWith("redis://")) {
                throw new BadInput("config: store: neither memory nor redis://host:port: " + store);
            }
            return new FaktoryConfig(text(root, "name"), text(root, "listen"), root.path("password").asText(""),
                store, root.path("store_password").asText(""), root.path("console").asText(""),
                Math.max(1, root.path("links").asInt(LINKS)),
                Site.read(root.path("settings")));
        } catch (JsonProcessingException e) {
            throw new BadInput("config: " + file + ": not TOML: "
                + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException | InvalidPathException e) {
            throw new BadInput("config: " + file + ": cannot be read");
        }
    }

    private static String text(JsonNode root, String name) throws BadInput {
        String value = root.path(name).asText("");
        if (value.isBlank()) {
            throw new BadInput("config: " + name + " is missing");
        }
        return value;
    }
}
