package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayList;
import java.util.List;

/**
 * The parts of a body that were decoded from one read. They are passed on as one buffer of their size: a peer
 * may send many small chunks, which would take far more memory than their bytes, and a part keeps all of the
 * read's buffer.
 */
final class DecodedParts {

    private final List<ByteBuf> parts = new ArrayList<>();

    /** Retains the part and appends it. */
    void add(ByteBuf part) {
        parts.add(part.retain());
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Removes the parts and returns their bytes in a new buffer, which the caller has to release. */
    ByteBuf takeJoined(ByteBufAllocator allocator) {
        int bytes = parts.stream().mapToInt(ByteBuf::readableBytes).sum();
        ByteBuf joined = allocator.ioBuffer(bytes, bytes);
        parts.forEach(joined::writeBytes);
        releaseAll();
        return joined;
    }

    /** Releases and removes all parts. */
    void releaseAll() {
        parts.forEach(ByteBuf::release);
        parts.clear();
    }
}
