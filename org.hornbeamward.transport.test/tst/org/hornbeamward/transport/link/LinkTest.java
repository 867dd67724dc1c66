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
    private final Events mServerEvents = new Events();
    private final Events mClientEvents = new Events();

    private static final class Events implements LinkHandler {
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

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T element = queue.poll(20, TimeUnit.SECONDS);
        assertNotNull(element);
        return element;
    }

    private LinkServer server() throws InterruptedException {
        return new LinkServer(mLoops, "127.0.0.1", 0, mServerEvents, mCounters);
    }

    private LinkClient client(int port) {
        SplittableRandom random = new SplittableRandom(1);
        return new LinkClient(mLoops, "127.0.0.1", port, mClientEvents, new LinkCounters(), random);
    }

    /** Guards against a client that stays without a link after the connection was lost. */
    @Test
    void clientConnectsAgainAfterItsLinkWasDropped() throws InterruptedException {
        try (LinkServer server = server();
                LinkClient client = client(server.port())) {
            next(mClientEvents.mOpened);
            assertEquals(true, client.send(new CheckpointTask(1, 2)).isRight());
            assertEquals(new CheckpointTask(1, 2), next(mServerEvents.mMessages));
            server.dropLinks();
            next(mClientEvents.mClosed);
            Link second = next(mClientEvents.mOpened);
            second.send(new CheckpointTask(3, 4));
            assertEquals(new CheckpointTask(3, 4), next(mServerEvents.mMessages));
            assertEquals(2, mCounters.messagesInCount());
        }
    }

    /** Guards against memory used up by a frame whose announced length is beyond the limit. */
    @Test
    void oversizedFrameIsRefusedBeforeItsContentArrives() throws Exception {
        try (LinkServer server = server();
                Socket socket = new Socket("127.0.0.1", server.port())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(Frames.MAX_BYTES + 1);
            out.flush();
            next(mServerEvents.mClosed);
            assertEquals(1, mCounters.malformedCount());
        }
    }

    /** Guards against callers that wait or lose messages silently while there is no link. */
    @Test
    void sendingFailsWithTypedErrors() throws InterruptedException {
        byte[] body = new byte[Frames.MAX_BYTES];
        Message large = new AnswerReply(1, true, 200, java.util.Map.of(), body);
        try (LinkServer server = server();
                LinkClient client = client(server.port())) {
            Link link = next(mClientEvents.mOpened);
            assertEquals("OversizedInput", link.send(large).getLeft().kind());
            client.close();
            next(mClientEvents.mClosed);
            assertEquals("PeerUnreachable", client.send(large).getLeft().kind());
            assertEquals("PeerUnreachable", link.send(large).getLeft().kind());
        }
    }
}
