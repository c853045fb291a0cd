import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking sockets. */
final class Http {
    /** A request or a response. */
    static final class Message {
        String first = "";
        int status;
        boolean complete;
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];

        String getHeader(String name) {
            return headers.getOrDefault(name, "");
        }

        String getText() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(b);
        }
    }

    /** Reads a message; null if the connection ended before its first byte. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message message = new Message();
        message.first = readLine(in);
        if (message.first == null) {
            return null;
        }
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the connection ended within the headers");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        if (response) {
            message.status = Integer.parseInt(message.first.split(" ")[1]);
        }
        String length = message.headers.get("content-length");
        if (message.getHeader("transfer-encoding").contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    message.body = body.toByteArray();
                    return message;
                }
                int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (bytes == 0) {
                    readLine(in);
                    break;
                }
                byte[] chunk = in.readNBytes(bytes);
                body.writeBytes(chunk);
                if (chunk.length < bytes) {
                    message.body = body.toByteArray();
                    return message;
                }
                readLine(in);
            }
            message.body = body.toByteArray();
        } else if (length != null) {
            int bytes = Integer.parseInt(length);
            message.body = in.readNBytes(bytes);
            if (message.body.length < bytes) {
                return message;
            }
        } else if (response) {
            message.body = in.readAllBytes();
        }
        message.complete = true;
        return message;
    }

    static void writeHead(OutputStream out, String first, Map<String, String> headers) throws IOException {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    static void respond(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        Map<String, String> all = new HashMap<>(headers);
        all.put("Content-Length", Integer.toString(body.length));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        writeHead(bytes, "HTTP/1.1 " + status + " X", all);
        bytes.writeBytes(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    static Message exchange(Socket socket, String method, String path, Map<String, String> headers, byte[] body)
            throws IOException {
        Map<String, String> all = new HashMap<>(headers);
        if (body.length > 0 || method.equals("POST")) {
            all.put("Content-Length", Integer.toString(body.length));
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        writeHead(bytes, method + " " + path + " HTTP/1.1", all);
        OutputStream out = socket.getOutputStream();
        out.write(bytes.toByteArray());
        out.write(body);
        out.flush();
        return read(new BufferedInputStream(socket.getInputStream()), true);
    }
}
