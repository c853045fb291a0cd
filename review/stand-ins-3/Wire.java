import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking sockets. */
final class Wire {
    private Wire() {}

    /** A request or response. The first line is kept as it was received. */
    static final class Message {
        String firstLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        /** Whether the body ended as its framing states. */
        boolean complete = true;

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a line without its end; null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            line.write(next);
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("end within a line");
        }
        return line.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
    }

    /** Reads the head of a message; null if the connection ended before it. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.firstLine = readLine(in);
        if (message.firstLine == null) {
            return null;
        }
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.merge(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim(),
                    (a, b) -> a + ", " + b);
        }
        return message;
    }

    /** Reads a request; null if the connection ended before it. */
    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            readBody(in, message, false);
        }
        return message;
    }

    /** Reads a response; null if the connection ended before it. */
    static Message readResponse(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            readBody(in, message, true);
        }
        return message;
    }

    private static void readBody(InputStream in, Message message, boolean untilClose) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        message.complete = false;
        try {
            if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                for (int size = readSize(in); size > 0; size = readSize(in)) {
                    copy(in, body, size);
                    readLine(in);
                }
                while (!readLine(in).isEmpty()) {
                    // Trailers are not used.
                }
                message.complete = true;
            } else if (message.headers.containsKey("content-length")) {
                copy(in, body, Integer.parseInt(message.header("content-length")));
                message.complete = true;
            } else if (untilClose) {
                in.transferTo(body);
                message.complete = true;
            } else {
                message.complete = true;
            }
        } catch (IOException | RuntimeException e) {
            // The body is not complete.
        }
        message.body = body.toByteArray();
    }

    private static int readSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
    }

    private static void copy(InputStream in, ByteArrayOutputStream to, int length) throws IOException {
        byte[] part = new byte[8192];
        int missing = length;
        while (missing > 0) {
            int read = in.read(part, 0, Math.min(part.length, missing));
            if (read < 0) {
                throw new EOFException("end within a body");
            }
            to.write(part, 0, read);
            missing -= read;
        }
    }

    /** Formats a response with a length. */
    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        return join(bytes(head.toString()), body);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] join(byte[]... parts) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            joined.writeBytes(part);
        }
        return joined.toByteArray();
    }

    /** Closes a connection with a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    static Socket connect(String host, int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), 1000);
        return socket;
    }

    static List<String> lines(String text) {
        return new ArrayList<>(List.of(text.split("\n")));
    }

    static void write(OutputStream out, byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }
}
