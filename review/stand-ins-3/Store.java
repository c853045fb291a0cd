import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the store of the platform: the log and its keyed topics, as far as a router uses them. */
final class Store implements AutoCloseable {
    /** How the store treats calls. */
    enum Mode {
        SERVES,
        /** Answers 503; nothing was done. */
        BUSY,
        /** Leaves all calls without an answer. */
        SILENT
    }

    private static final int PAGE = 500;

    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final ServerSocket server;
    private final Record record;
    private volatile Mode mode = Mode.SERVES;

    Store(String host, Record record) throws IOException {
        this.record = record;
        server = new ServerSocket(0, 200, InetAddress.getByName(host));
        start(this::accept);
    }

    static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    void setMode(Mode next) {
        record.add("store %s", next);
        mode = next;
    }

    /** Writes a record of a keyed topic, as the operator and the workers do; an empty value removes the key. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        append(topic, Wire.join(new byte[] {(byte) name.length}, name, value.getBytes(StandardCharsets.UTF_8)));
    }

    private synchronized long append(String topic, byte[] content) {
        List<byte[]> records = topic(topic);
        records.add(content);
        notifyAll();
        return records.size();
    }

    private synchronized List<byte[]> topic(String name) {
        return topics.computeIfAbsent(name, n -> new ArrayList<>());
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            for (Wire.Message request = Wire.readRequest(socket.getInputStream());
                    request != null;
                    request = Wire.readRequest(socket.getInputStream())) {
                Thread.sleep(4);
                byte[] response = mode == Mode.BUSY ? Wire.response(503, Map.of(), new byte[0]) : handle(request);
                while (mode == Mode.SILENT) {
                    Thread.sleep(20);
                }
                Wire.write(socket.getOutputStream(), response);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the connection.
        }
    }

    private byte[] handle(Wire.Message request) throws InterruptedException {
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        for (String pair : target.length < 2 ? new String[0] : target[1].split("&")) {
            query.put(pair.split("=", 2)[0], pair.split("=", 2)[1]);
        }
        String topic = query.getOrDefault("topic", "");
        return switch (target[0]) {
            case "/v1/log-newest" -> newest(topic, query.getOrDefault("after", ""));
            case "/v1/log-read" ->
                read(topic, Long.parseLong(query.get("from")), Long.parseLong(query.getOrDefault("waitMs", "0")));
            case "/v1/log-append" -> append(topic, query, request.body);
            default -> Wire.response(404, Map.of(), new byte[0]);
        };
    }

    private synchronized byte[] append(String topic, Map<String, String> query, byte[] body) {
        int end = topic(topic).size();
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
            return json(412, "{\"endOffset\":" + end + "}");
        }
        ByteBuffer records = ByteBuffer.wrap(body);
        while (records.remaining() >= 4) {
            byte[] content = new byte[records.getInt()];
            records.get(content);
            append(topic, content);
        }
        return json(200, "{\"offset\":" + end + ",\"endOffset\":" + topic(topic).size() + "}");
    }

    private synchronized byte[] read(String topic, long from, long waitMillis) throws InterruptedException {
        long until = System.nanoTime() / 1_000_000 + waitMillis;
        List<byte[]> records = topic(topic);
        while (records.size() <= from && System.nanoTime() / 1_000_000 < until) {
            wait(Math.max(1, until - System.nanoTime() / 1_000_000));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
        for (int i = (int) from; i < records.size(); i++) {
            body.writeBytes(ByteBuffer.allocate(4).putInt(records.get(i).length).array());
            body.writeBytes(records.get(i));
        }
        return Wire.response(200, Map.of("Content-Type", "application/octet-stream"), body.toByteArray());
    }

    private synchronized byte[] newest(String topic, String after) {
        TreeMap<String, String> items = new TreeMap<>();
        List<byte[]> records = topic(topic);
        for (int i = 0; i < records.size(); i++) {
            byte[] content = records.get(i);
            String key = new String(content, 1, content[0] & 0xff, StandardCharsets.UTF_8);
            byte[] value = java.util.Arrays.copyOfRange(content, 1 + (content[0] & 0xff), content.length);
            if (value.length == 0) {
                items.remove(key);
            } else {
                items.put(key, "{\"key\":\"" + key + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + i + "}");
            }
        }
        List<String> page = items.tailMap(after, false).values().stream().limit(PAGE).toList();
        boolean more = items.tailMap(after, false).size() > PAGE;
        return json(
                200,
                "{\"items\":[" + String.join(",", page) + "],\"hasMore\":" + more + ",\"endOffset\":"
                        + records.size() + "}");
    }

    private static byte[] json(int status, String body) {
        return Wire.response(status, Map.of("Content-Type", "application/json"), Wire.bytes(body));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
