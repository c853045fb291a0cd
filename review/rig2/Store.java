import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in of the platform's store: the calls of the log that a router uses, in memory. */
final class Store {
    private final ServerSocket server;
    private final Map<String, List<byte[]>> topics = new HashMap<>();

    Store(String host) throws IOException {
        server = Http.serve(host, this::serve);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Appends a record with a key; an empty value removes the key. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = Http.bytes(key);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        topic(topic).add(ByteBuffer.allocate(1 + name.length + content.length)
                .put((byte) name.length)
                .put(name)
                .put(content)
                .array());
        notifyAll();
    }

    private List<byte[]> topic(String name) {
        return topics.computeIfAbsent(name, n -> new ArrayList<>());
    }

    private void serve(Socket socket) throws IOException {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            String target = request.firstLine().split(" ")[1];
            Map<String, String> query = new HashMap<>();
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length > 1 ? parts[1] : "");
            }
            String path = target.split("\\?")[0];
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int status = answer(path, query, request.body(), body);
            socket.getOutputStream()
                    .write(concat(
                            Http.bytes("HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\nContent-Length: "
                                    + body.size() + "\r\n\r\n"),
                            body.toByteArray()));
        }
    }

    private synchronized int answer(String path, Map<String, String> query, byte[] content, ByteArrayOutputStream out)
            throws IOException {
        List<byte[]> log = topic(query.getOrDefault("topic", ""));
        switch (path) {
            case "/v1/log-newest":
                out.write(Http.bytes("{\"items\":[" + String.join(",", newest(log).values())
                        + "],\"hasMore\":false,\"endOffset\":" + log.size() + "}"));
                return 200;
            case "/v1/log-read":
                read(log, Integer.parseInt(query.get("from")), Long.parseLong(query.getOrDefault("waitMs", "0")), out);
                return 200;
            case "/v1/log-append":
                boolean refused =
                        query.containsKey("at") && Integer.parseInt(query.get("at")) != log.size();
                if (!refused) {
                    ByteBuffer records = ByteBuffer.wrap(content);
                    while (records.hasRemaining()) {
                        byte[] record = new byte[records.getInt()];
                        records.get(record);
                        log.add(record);
                    }
                    notifyAll();
                }
                out.write(Http.bytes("{\"endOffset\":" + log.size() + "}"));
                return refused ? 412 : 200;
            default:
                return 404;
        }
    }

    private static Map<String, String> newest(List<byte[]> log) {
        Map<String, String> items = new LinkedHashMap<>();
        for (int offset = 0; offset < log.size(); offset++) {
            byte[] record = log.get(offset);
            String key = new String(record, 1, record[0], StandardCharsets.ISO_8859_1);
            byte[] value = Arrays.copyOfRange(record, 1 + record[0], record.length);
            items.remove(key);
            if (value.length > 0) {
                items.put(
                        key,
                        "{\"key\":\"" + key + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset + "}");
            }
        }
        return items;
    }

    private void read(List<byte[]> log, int from, long waitMillis, ByteArrayOutputStream out) throws IOException {
        long end = System.nanoTime() / 1_000_000 + waitMillis;
        for (long left = waitMillis; log.size() <= from && left > 0; left = end - System.nanoTime() / 1_000_000) {
            try {
                wait(left);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
        out.write(ByteBuffer.allocate(16).putLong(log.size()).putLong(0).array());
        for (byte[] record : log.subList(Math.min(from, log.size()), log.size())) {
            out.write(ByteBuffer.allocate(4).putInt(record.length).array());
            out.write(record);
        }
    }

    static byte[] concat(byte[] first, byte[] second) {
        return ByteBuffer.allocate(first.length + second.length).put(first).put(second).array();
    }
}
