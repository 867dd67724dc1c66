package org.hornbeamward.transport.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.DataOutputStream;
import java.net.Socket;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hornbeamward.transport.frame.Frames;
import org.hornbeamward.transport.message.AnswerReply;
import org.hornbeamward.transport.message.CheckpointTask;
import org.hornbeamward.transport.message.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class LinkTest {
    private final NioEventLoopGroup mLoops = new NioEventLoopGroup(2);
    private final LinkCounters mCounters = new LinkCounters();
    private final RecordingHandler mServerHandler = new RecordingHandler();
    private final RecordingHandler mClientHandler = new RecordingHandler();

    private static final class RecordingHandler implements LinkHandler {
        final BlockingQueue<Link> mOpened = new LinkedBlockingQueue<>();
        final BlockingQueue<Message> mMessages = new LinkedBlockingQueue<>();
        final BlockingQueue<Link> mClosed = new LinkedBlockingQueue<>();

        @Override
        public void onOpen(Link link) {
            mOpened.add(link);
        }

        @Override
        public void onMessage(Link link, Message message) {
            mMessages.add(message);
        }

        @Override
        public void onClosed(Link link) {
            mClosed.add(link);
        }
    }

    @AfterEach
    void stopThreads() {
        mLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static <T> T awaitNext(BlockingQueue<T> queue) throws InterruptedException {
        T element = queue.poll(20, TimeUnit.SECONDS);
        assertNotNull(element);
        return element;
    }

    private LinkServer server() throws InterruptedException {
        return new LinkServer(mLoops, "127.0.0.1", 0, mServerHandler, mCounters);
    }

    private LinkClient client(int port) {
        SplittableRandom random = new SplittableRandom(1);
        return new LinkClient(
                mLoops, "127.0.0.1", port, mClientHandler, new LinkCounters(), random);
    }

    /** Guards against a client that does not reconnect after the connection was lost. */
    @Test
    void clientConnectsAgainAfterItsLinkWasDropped() throws InterruptedException {
        try (LinkServer server = server();
                LinkClient client = client(server.port())) {
            awaitNext(mClientHandler.mOpened);
            assertEquals(true, client.send(new CheckpointTask(1, 2)).isRight());
            assertEquals(new CheckpointTask(1, 2), awaitNext(mServerHandler.mMessages));
            server.dropLinks();
            awaitNext(mClientHandler.mClosed);
            Link second = awaitNext(mClientHandler.mOpened);
            second.send(new CheckpointTask(3, 4));
            assertEquals(new CheckpointTask(3, 4), awaitNext(mServerHandler.mMessages));
            assertEquals(2, mCounters.messagesInCount());
        }
    }

    /** Guards against memory exhaustion by a frame whose declared length is above the limit. */
    @Test
    void oversizedFrameIsRefusedBeforeItsContentArrives() throws Exception {
        try (LinkServer server = server();
                Socket socket = new Socket("127.0.0.1", server.port())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(Frames.MAX_BYTES + 1);
            out.flush();
            awaitNext(mServerHandler.mClosed);
            assertEquals(1, mCounters.malformedCount());
        }
    }

    /** Guards against a send that blocks or loses messages silently while there is no link. */
    @Test
    void sendingFailsWithTypedErrors() throws InterruptedException {
        byte[] body = new byte[Frames.MAX_BYTES];
        Message large = new AnswerReply(1, true, 200, java.util.Map.of(), body);
        try (LinkServer server = server();
                LinkClient client = client(server.port())) {
            Link link = awaitNext(mClientHandler.mOpened);
            assertEquals("OversizedInput", link.send(large).getLeft().kind());
            client.close();
            awaitNext(mClientHandler.mClosed);
            assertEquals("PeerUnreachable", client.send(large).getLeft().kind());
            assertEquals("PeerUnreachable", link.send(large).getLeft().kind());
        }
    }
}
