import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's store: the calls that routers make. */
final class Store {
    private static final byte[] REMOVED = new byte[0];

    private final ServerSocket server;
    private final Map<String, List<byte[]>> topics = new HashMap<>();

    Store() throws IOException {
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::accept, "store");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress getAddress() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Writes the newest record of a key; returns when the write is confirmed. */
    synchronized void put(String topic, String key, String value) {
        put(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void put(String topic, String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + name.length + value.length);
        record.put((byte) name.length).put(name).put(value);
        topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(record.array());
        notifyAll();
    }

    synchronized void remove(String topic, String key) {
        put(topic, key, REMOVED);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "store-call");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in, false);
                if (request == null) {
                    return;
                }
                String[] words = request.first.split(" ");
                handle(words[0], words[1], request.body, out);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the connection.
        }
    }

    private static Map<String, String> parseQuery(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        for (String pair : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], parts[1]);
        }
        return query;
    }

    private void handle(String method, String target, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        Map<String, String> query = parseQuery(target);
        String topic = query.getOrDefault("topic", "");
        Map<String, String> json = Map.of("Content-Type", "application/json");
        if (target.startsWith("/v1/log-newest")) {
            Http.respond(out, 200, json, getNewest(topic).getBytes(StandardCharsets.UTF_8));
        } else if (target.startsWith("/v1/log-read")) {
            Http.respond(
                    out,
                    200,
                    Map.of("Content-Type", "application/octet-stream"),
                    readRecords(
                            topic,
                            Integer.parseInt(query.get("from")),
                            Long.parseLong(query.getOrDefault("waitMs", "0"))));
        } else if (target.startsWith("/v1/log-append")) {
            append(topic, query, body, out, json);
        } else {
            Http.respond(out, 404, json, "{}".getBytes(StandardCharsets.UTF_8));
        }
    }

    private synchronized void append(
            String topic, Map<String, String> query, byte[] body, OutputStream out, Map<String, String> json)
            throws IOException {
        List<byte[]> records = topics.computeIfAbsent(topic, t -> new ArrayList<>());
        int status = 200;
        int offset = records.size();
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != offset) {
            status = 412;
        } else {
            ByteBuffer bytes = ByteBuffer.wrap(body);
            while (bytes.remaining() >= 4) {
                byte[] record = new byte[bytes.getInt()];
                bytes.get(record);
                records.add(record);
            }
            notifyAll();
        }
        String answer = "{\"offset\":" + offset + ",\"endOffset\":" + records.size() + "}";
        Http.respond(out, status, json, answer.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized byte[] readRecords(String topic, int from, long waitMillis)
            throws IOException, InterruptedException {
        List<byte[]> records = topics.computeIfAbsent(topic, t -> new ArrayList<>());
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (records.size() <= from && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(bytes);
        data.writeLong(records.size());
        data.writeLong(0);
        for (int i = from; i < Math.min(records.size(), from + 1024); i++) {
            data.writeInt(records.get(i).length);
            data.write(records.get(i));
        }
        return bytes.toByteArray();
    }

    private synchronized String getNewest(String topic) {
        List<byte[]> records = topics.computeIfAbsent(topic, t -> new ArrayList<>());
        Map<String, String> items = new LinkedHashMap<>();
        for (int i = 0; i < records.size(); i++) {
            byte[] record = records.get(i);
            int length = record[0] & 0xff;
            String key = new String(record, 1, length, StandardCharsets.UTF_8);
            items.remove(key);
            if (record.length > 1 + length) {
                byte[] value = java.util.Arrays.copyOfRange(record, 1 + length, record.length);
                items.put(
                        key,
                        "{\"key\":\"" + key + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + i + "}");
            }
        }
        return "{\"items\":[" + String.join(",", items.values()) + "],\"hasMore\":false,\"endOffset\":" + records.size()
                + "}";
    }
}
