package org.magnoliavane.node.peer;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Forwards connections; those that are open at a certain moment go silent without being closed. */
final class SilentProxy implements AutoCloseable {
    private final ServerSocket server;
    private final int target;
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

    SilentProxy(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0);
        start(this::accept);
    }

    int getPort() {
        return server.getLocalPort();
    }

    void silenceOpenConnections() {
        pipes.forEach(pipe -> pipe.silent = true);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Pipe pipe : pipes) {
            pipe.from.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket caller = server.accept();
                Socket callee = new Socket("127.0.0.1", target);
                for (Pipe pipe : List.of(new Pipe(caller, callee), new Pipe(callee, caller))) {
                    pipes.add(pipe);
                    start(pipe::run);
                }
            }
        } catch (IOException e) {
            // The proxy was closed.
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "silent-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    /** Forwards one direction. */
    private static final class Pipe {
        private final Socket from;
        private final Socket to;
        private volatile boolean silent;

        Pipe(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }

        void run() {
            try (Socket source = from) {
                InputStream in = source.getInputStream();
                byte[] buffer = new byte[8192];
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    if (!silent) {
                        to.getOutputStream().write(buffer, 0, count);
                    }
                }
                if (!silent) {
                    to.close();
                }
            } catch (IOException e) {
                // The connection has ended.
            }
        }
    }
}
