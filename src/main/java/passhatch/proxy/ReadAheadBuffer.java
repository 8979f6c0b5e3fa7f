package passhatch.proxy;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Map;

/**
 * Buffers input of one client connection that has been read but not handled yet. The connection is read
 * while its requests wait, because a close by the client is seen only after everything sent before it has
 * been read. The buffer is limited: once it is full, reading pauses, TCP flow control stops the client, and
 * a close by the client goes unnoticed until reading resumes.
 */
final class ReadAheadBuffer {

    private static final int MAX_BUFFERED_BYTES = 1 << 18;
    /** The same while memory is scarce. */
    private static final int MAX_SCARCE_BYTES = 1 << 13;
    /** Approximate memory taken by the head of a request, without the characters of its texts. */
    private static final int ESTIMATED_HEAD_OVERHEAD_BYTES = 1 << 9;
    /** Approximate memory taken by the objects around each header of a request. */
    private static final int ESTIMATED_HEADER_OVERHEAD_BYTES = 1 << 7;
    /** Approximate memory taken by the objects around each piece of a body. */
    private static final int ESTIMATED_CHUNK_OVERHEAD_BYTES = 192;

    /**
     * A part of a request.
     *
     * @param receivedAtUs when it was read, in microseconds of the proxy's clock
     * @param estimatedBytes approximate memory that it takes, in bytes
     */
    record ReceivedPart(HttpObject part, long receivedAtUs, int estimatedBytes) { }

    private final MemorySource memory;
    /** In the order of arrival. */
    private final ArrayDeque<ReceivedPart> parts = new ArrayDeque<>();
    private int bufferedBytes;
    private int reservedBytes;

    /** Creates an empty buffer that reserves its memory from the source. */
    ReadAheadBuffer(MemorySource memory) {
        this.memory = memory;
    }

    /** Retains the part and appends it, also when the buffer is full. */
    void add(HttpObject part, long nowUs) {
        ReceivedPart received = new ReceivedPart(ReferenceCountUtil.retain(part), nowUs,
                estimatedBytes(part));
        parts.add(received);
        bufferedBytes += received.estimatedBytes();
        if (memory.reserve(bufferedBytes - reservedBytes)) {
            reservedBytes = bufferedBytes;
        }
    }

    private static int estimatedBytes(HttpObject part) {
        if (part instanceof HttpContent content) {
            return ESTIMATED_CHUNK_OVERHEAD_BYTES + content.content().readableBytes();
        }
        return part instanceof HttpRequest head ? estimatedHeadBytes(head) : ESTIMATED_HEAD_OVERHEAD_BYTES;
    }

    /** Approximate memory taken by the head of a request, in bytes. */
    static int estimatedHeadBytes(HttpRequest head) {
        int bytes = ESTIMATED_HEAD_OVERHEAD_BYTES + head.uri().length();
        Iterator<Map.Entry<CharSequence, CharSequence>> headers = head.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            bytes += ESTIMATED_HEADER_OVERHEAD_BYTES + header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }

    /** Removes the next part, which the caller has to release; null if the buffer is empty. */
    ReceivedPart poll() {
        ReceivedPart next = parts.poll();
        if (next != null) {
            bufferedBytes -= next.estimatedBytes();
            releaseReservation(Math.max(0, reservedBytes - bufferedBytes));
        }
        return next;
    }

    /** When the first end of a request in the buffer was received, in microseconds; 0 if there is none. */
    long firstEndReceivedAtUs() {
        for (ReceivedPart received : parts) {
            if (received.part() instanceof LastHttpContent) {
                return received.receivedAtUs();
            }
        }
        return 0;
    }

    /** Whether the next part is the end of a request. */
    boolean isEndNext() {
        return !parts.isEmpty() && parts.peek().part() instanceof LastHttpContent;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Whether reading must pause: this buffer is full, or the memory for the input of all connections is. */
    boolean isFull() {
        return bufferedBytes > (memory.isScarce() ? MAX_SCARCE_BYTES : MAX_BUFFERED_BYTES)
                || bufferedBytes > reservedBytes;
    }

    /** Releases and removes all parts. */
    void releaseAll() {
        parts.forEach(received -> ReferenceCountUtil.release(received.part()));
        parts.clear();
        bufferedBytes = 0;
        releaseReservation(reservedBytes);
    }

    private void releaseReservation(int bytes) {
        reservedBytes -= bytes;
        memory.release(bytes);
    }
}
