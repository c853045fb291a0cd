package org.magnoliavane.node.peer;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Forwards connections, and can stop forwarding on those that are open without closing them. */
final class StallingProxy implements AutoCloseable {
    private final ServerSocket server;
    private final int target;
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

    StallingProxy(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0);
        startThread(this::acceptConnections);
    }

    int getPort() {
        return server.getLocalPort();
    }

    void stallOpenConnections() {
        pipes.forEach(pipe -> pipe.stalled = true);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Pipe pipe : pipes) {
            pipe.from.close();
        }
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket caller = server.accept();
                Socket callee = new Socket("127.0.0.1", target);
                for (Pipe pipe : List.of(new Pipe(caller, callee), new Pipe(callee, caller))) {
                    pipes.add(pipe);
                    startThread(pipe::forward);
                }
            }
        } catch (IOException e) {
            // The proxy was closed.
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "stalling-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    /** Forwards one direction of a connection. */
    private static final class Pipe {
        private final Socket from;
        private final Socket to;
        private volatile boolean stalled;

        Pipe(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }

        void forward() {
            try (Socket source = from) {
                InputStream in = source.getInputStream();
                byte[] buffer = new byte[8192];
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    if (!stalled) {
                        to.getOutputStream().write(buffer, 0, count);
                    }
                }
                if (!stalled) {
                    to.close();
                }
            } catch (IOException e) {
                // The connection has ended.
            }
        }
    }
}
