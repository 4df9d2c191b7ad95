package damsonslip.admin.console;

import damsonslip.config.ConfigurationException;
import damsonslip.transport.Address;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jline.reader.EndOfFileException;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.reader.UserInterruptException;
import org.jline.reader.impl.completer.StringsCompleter;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;

/** The operator's terminal: sends commands to a running scheduler and prints the answers. */
public final class ConsoleClient {
    private static final String DEFAULT_ADDRESS = "127.0.0.1:7420";
    private static final int TIMEOUT_MS = 5_000;

    private ConsoleClient() {}

    /**
     * Runs the command in the arguments, or opens a prompt if they contain none.
     *
     * @param arguments the scheduler's console address and a command; both are optional
     * @throws ConfigurationException if the address is malformed or cannot be connected to
     */
    public static void run(List<String> arguments, PrintStream out)
            throws ConfigurationException, IOException {
        String address = arguments.isEmpty() ? DEFAULT_ADDRESS : arguments.get(0);
        try (Socket socket = connect(address)) {
            BufferedReader fromServer =
                    new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            PrintWriter toServer =
                    new PrintWriter(socket.getOutputStream(), true, StandardCharsets.UTF_8);
            if (arguments.size() > 1) {
                out.println(
                        execute(
                                String.join(" ", arguments.subList(1, arguments.size())),
                                fromServer,
                                toServer));
            } else {
                prompt(address, fromServer, toServer);
            }
        }
    }

    private static Socket connect(String address) throws ConfigurationException {
        try {
            InetSocketAddress socketAddress = Address.parse(address);
            Socket socket = new Socket();
            socket.connect(socketAddress, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            return socket;
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("console: " + e.getMessage());
        } catch (IOException e) {
            throw new ConfigurationException("console: nothing answers on " + address);
        }
    }

    private static String execute(String line, BufferedReader fromServer, PrintWriter toServer)
            throws IOException {
        toServer.println(line);
        StringBuilder answer = new StringBuilder();
        for (String next = fromServer.readLine();
                !ConsoleConnection.END_OF_ANSWER.equals(next);
                next = fromServer.readLine()) {
            if (next == null) {
                throw new IOException("the scheduler has gone");
            }
            answer.append(next).append('\n');
        }
        return answer.toString().stripTrailing();
    }

    private static void prompt(String address, BufferedReader fromServer, PrintWriter toServer)
            throws IOException {
        try (Terminal terminal = TerminalBuilder.builder().dumb(true).build()) {
            LineReader reader =
                    LineReaderBuilder.builder()
                            .terminal(terminal)
                            .completer(new StringsCompleter(ConsoleCommands.NAMES))
                            .build();
            terminal.writer().println("damsonslip on " + address + "; help lists the commands");
            while (true) {
                String line = reader.readLine("> ").trim();
                if (line.equals("quit") || line.equals("exit")) {
                    return;
                }
                if (!line.isEmpty()) {
                    terminal.writer().println(execute(line, fromServer, toServer));
                    terminal.flush();
                }
            }
        } catch (EndOfFileException | UserInterruptException e) {
            // Ctrl-D or Ctrl-C closes the console
        }
    }
}
