package damsonslip.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;

/**
 * The configuration of a platform scheduler.
 *
 * @param name its name
 * @param listen the address on which clients connect
 * @param discovery the address of discovery
 * @param seed the seed of the random numbers
 * @param maxFileDescriptors how many file descriptors the process may hold
 * @param cachedEndpointList the cached endpoint list of an earlier process, undecoded
 * @param site the settings of the deployment
 * @param mgmt the address of the management port; empty for none
 */
public record SchedulerConfig(
        String name,
        String listen,
        String discovery,
        long seed,
        int maxFileDescriptors,
        JsonNode cachedEndpointList,
        SiteSettings site,
        String mgmt) {
    private static final int MIN_SOCKETS = 128;

    /**
     * Reads the file that {@code ROUTER_CONFIG} names. Keys that the file lacks are taken from the
     * environment.
     */
    public static SchedulerConfig read(Map<String, String> environment)
            throws ConfigurationException {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null || file.isBlank()) {
            throw new ConfigurationException("config: ROUTER_CONFIG names no file");
        }
        JsonNode root = parse(file);
        String name =
                root.path("name").asText(environment.getOrDefault("ROUTER_NAME", "scheduler"));
        return new SchedulerConfig(
                name,
                required(root, "listen", environment.get("ROUTER_LISTEN")),
                required(root, "discovery", environment.get("ROUTER_DISCOVERY")),
                seed(root.path("seed").asText("0")),
                Math.max(MIN_SOCKETS, root.path("limits").path("sockets").asInt(1024)),
                root.path("known"),
                SiteSettings.read(root.path("settings")),
                root.path("mgmt").asText(environment.getOrDefault("ROUTER_MGMT", "")));
    }

    private static JsonNode parse(String file) throws ConfigurationException {
        try {
            JsonNode root = JsonTreeReader.read(Files.readString(Path.of(file)));
            if (root == null || !root.isObject()) {
                throw new ConfigurationException("config: " + file + ": not a JSON object");
            }
            return root;
        } catch (JsonProcessingException e) {
            throw new ConfigurationException(
                    "config: "
                            + file
                            + ": not JSON: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new UnreadableConfigurationException("config: " + file + ": cannot be read");
        } catch (InvalidPathException e) {
            throw new ConfigurationException("config: " + file + ": cannot be read");
        }
    }

    private static String required(JsonNode root, String name, String fallback)
            throws ConfigurationException {
        String value = root.path(name).asText(fallback == null ? "" : fallback);
        if (value.isBlank()) {
            throw new ConfigurationException("config: " + name + " is missing");
        }
        return value;
    }

    private static long seed(String text) throws ConfigurationException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigurationException("config: seed: " + text);
        }
    }
}
