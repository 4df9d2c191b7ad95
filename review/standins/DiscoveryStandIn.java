import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;

/** The agent that pushes the list of workers; the list never changes. */
final class DiscoveryStandIn {
    final int port;
    private final ServerSocket server;
    private final List<WorkerStandIn> workers;

    DiscoveryStandIn(List<WorkerStandIn> workers) throws IOException {
        this.workers = workers;
        server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        Threads.daemon("discovery", this::accept);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Threads.daemon("watch", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (Http http = new Http(socket)) {
            Http.Message call = http.read();
            if (call == null) {
                return;
            }
            String list = list();
            if (!call.start().contains("watch=1")) {
                http.write(
                        "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                return;
            }
            http.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list));
            while (true) {
                Thread.sleep(2_000);
                http.write(chunk("\n"));
            }
        } catch (IOException | InterruptedException e) {
            // the scheduler has ended the watch
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private String list() {
        StringBuilder text = new StringBuilder("{\"generation\":1,\"reset\":true,\"instances\":[");
        for (WorkerStandIn worker : workers) {
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append("{\"instanceId\":\"" + worker.name + "\",\"hostPort\":\"127.0.0.1:")
                    .append(worker.port)
                    .append("\",\"zone\":\"dc-1\",\"machineType\":\"type-a\",\"cell\":0,")
                    .append("\"lifecycle\":\"ready\",\"weight\":1.0,\"startedAtMs\":0}");
        }
        return text.append("]}\n").toString();
    }
}
