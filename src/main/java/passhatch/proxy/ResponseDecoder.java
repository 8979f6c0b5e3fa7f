package passhatch.proxy;

import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/** Netty's decoder of responses, with a strict check of header lines where Netty is lenient. */
final class ResponseDecoder extends HttpResponseDecoder {

    /** Largest part of a body that the decoder emits. */
    private static final int MAX_CHUNK_BYTES = 1 << 15;

    /** Creates a decoder that emits bodies in parts as large as a read from the socket brings. */
    ResponseDecoder() {
        super(SelectedHeaders.forResponses("X-Load", "X-Not-Run").setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /**
     * Rejects a header line without a colon after its first word. Netty would make a header of it, but a
     * response with such a head is corrupt and must not be forwarded.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("header line of a response has no colon after its name");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Whether bytes have been received that the decoder has not decoded yet. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }
}
