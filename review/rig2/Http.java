import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on sockets, byte by byte under the control of a test. */
final class Http {
    private Http() {}

    /** A message; the body is null if the connection ended before it was complete. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return body == null ? "(incomplete)" : new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message; returns null if the connection ends before its head is complete. */
    static Message read(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                return null;
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Message(first, headers, readBody(in, first, headers));
    }

    private static byte[] readBody(InputStream in, String first, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").toLowerCase(Locale.ROOT).contains("chunked")) {
            return readChunks(in);
        }
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] body = in.readNBytes(length);
            return body.length == length ? body : null;
        }
        return first.startsWith("HTTP/") ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) {
                return null;
            }
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            byte[] part = in.readNBytes(length);
            String end = readLine(in);
            if (part.length < length || end == null) {
                return null;
            }
            if (length == 0) {
                return body.toByteArray();
            }
            body.write(part);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        return null;
    }

    /** Sends a request on a connection of its own and reads the response; null if the connection ends without one. */
    static Message call(String host, int port, byte[] request, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request);
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    /** Handles one connection. */
    interface Handler {
        void handle(Socket socket) throws IOException;
    }

    /** Accepts connections, each with a thread of its own. */
    static ServerSocket serve(String host, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName(host));
        Thread acceptor = new Thread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Thread thread = new Thread(() -> {
                        try (socket) {
                            handler.handle(socket);
                        } catch (IOException | RuntimeException e) {
                            // The peer has closed the connection.
                        }
                    });
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
        return server;
    }
}
