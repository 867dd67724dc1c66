import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A relay for TCP connections that can hold back all bytes, as a partition does. */
final class Relay {
    private final String mHost;
    private final int mTargetPort;
    private ServerSocket mListener;
    private final int mPort;
    private boolean mCut;
    private final List<Socket> mSockets = new ArrayList<>();
    private final List<Socket> mFillers = new ArrayList<>();

    Relay(String host, int targetPort) throws IOException {
        mHost = host;
        mTargetPort = targetPort;
        mListener = new ServerSocket(0, 1, InetAddress.getByName(host));
        mPort = mListener.getLocalPort();
        Thread.ofPlatform().daemon().start(this::accept);
    }

    String address() {
        return mHost + ":" + mPort;
    }

    private void accept() {
        while (true) {
            try {
                awaitOpen();
                Socket client = mListener.accept();
                Socket target = new Socket();
                target.connect(new InetSocketAddress(mHost, mTargetPort), 1_000);
                client.setTcpNoDelay(true);
                target.setTcpNoDelay(true);
                synchronized (this) {
                    mSockets.add(client);
                    mSockets.add(target);
                }
                Thread.ofVirtual().start(() -> pump(client, target));
                Thread.ofVirtual().start(() -> pump(target, client));
            } catch (IOException e) {
                Clock.sleep(10);
            }
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            while (true) {
                int count = from.getInputStream().read(buffer);
                awaitOpen();
                if (count < 0) {
                    break;
                }
                to.getOutputStream().write(buffer, 0, count);
            }
        } catch (IOException e) {
            // Either side has closed the connection; the other one is closed below.
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to be done with a socket that cannot be closed.
        }
    }

    private synchronized void awaitOpen() {
        while (mCut) {
            try {
                wait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /**
     * Cuts the link silently: open connections hang. New ones are not answered either, as soon as
     * the queue of the listener is full.
     */
    void cut() throws IOException {
        synchronized (this) {
            mCut = true;
        }
        Clock.sleep(5);
        // The accepting thread may still take one connection; three more fill the queue of one.
        for (int i = 0; i < 4; i++) {
            Socket filler = new Socket();
            try {
                filler.connect(new InetSocketAddress(mHost, mPort), 50);
            } catch (IOException e) {
                close(filler);
                continue;
            }
            mFillers.add(filler);
        }
    }

    /** Restores the link. */
    void heal() {
        mFillers.forEach(Relay::close);
        mFillers.clear();
        synchronized (this) {
            mCut = false;
            notifyAll();
        }
    }
}
