import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** A proxy whose open connections can go silent for good, while new ones work. */
final class Proxy {
    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<AtomicBoolean> open = ConcurrentHashMap.newKeySet();

    Proxy(InetSocketAddress target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    InetSocketAddress getAddress() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Silences all open connections: no byte passes any more, and none is closed. */
    int silence() {
        int count = 0;
        for (AtomicBoolean silent : open) {
            silent.set(true);
            count++;
        }
        open.clear();
        return count;
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Socket forward = new Socket(target.getAddress(), target.getPort());
                socket.setTcpNoDelay(true);
                forward.setTcpNoDelay(true);
                AtomicBoolean silent = new AtomicBoolean();
                open.add(silent);
                start(() -> copy(socket, forward, silent));
                start(() -> copy(forward, socket, silent));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void copy(Socket from, Socket to, AtomicBoolean silent) {
        byte[] buffer = new byte[8192];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int length = in.read(buffer);
                if (silent.get()) {
                    // Neither bytes nor the close reach the other side.
                    return;
                }
                if (length < 0) {
                    break;
                }
                out.write(buffer, 0, length);
                out.flush();
            }
        } catch (IOException e) {
            if (silent.get()) {
                return;
            }
        }
        open.remove(silent);
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to release.
        }
    }
}
