package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits the stream of discovery into JSON objects, wherever line breaks and reads divide them. Netty's
 * JsonObjectDecoder is not used because it fails at the first byte outside an object and does not report
 * empty lines. Here text outside an object is skipped up to the end of its line, and an empty line is
 * reported as a sign of life.
 */
final class JsonObjectSplitter {

    /** Is notified of what the stream contains. */
    interface Listener {
        /** Called for each complete JSON object. */
        void onObject(String json);

        /** Called for each line that contains nothing but white space. */
        void onEmptyLine();

        /** Called for text outside an object, up to the end of its line, and for an incomplete object. */
        void onInvalidLine(String line);
    }

    private final Listener listener;
    private final int maxBytes;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    /** Number of open braces and brackets; 0 outside an object. */
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean inInvalidLine;
    private boolean lineIsEmpty = true;

    /**
     * Creates a splitter at the start of a stream.
     *
     * @param maxBytes most bytes of one object or invalid line
     */
    JsonObjectSplitter(int maxBytes, Listener listener) {
        this.maxBytes = maxBytes;
        this.listener = listener;
    }

    /**
     * Reads all bytes, or as many as the limit allows.
     *
     * @return false if an object or invalid line exceeds the limit; the stream is of no more use then
     */
    boolean add(ByteBuf bytes) {
        while (bytes.isReadable()) {
            byte next = bytes.readByte();
            if (depth > 0) {
                addInsideObject(next);
            } else {
                addOutsideObject(next);
            }
            if (buffer.size() > maxBytes) {
                return false;
            }
        }
        return true;
    }

    /** Whether the bytes read so far end inside an object. */
    boolean isInsideObject() {
        return depth > 0;
    }

    /** Must be called at the end of the stream; reports an incomplete object or line. */
    void end() {
        if (depth > 0 || inInvalidLine) {
            listener.onInvalidLine(takeBuffer());
        }
    }

    private void addInsideObject(byte next) {
        buffer.write(next);
        if (inString) {
            inString = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else if (next == '"') {
            inString = true;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if ((next == '}' || next == ']') && --depth == 0) {
            listener.onObject(takeBuffer());
        }
    }

    private void addOutsideObject(byte next) {
        if (next == '\n') {
            if (inInvalidLine) {
                listener.onInvalidLine(takeBuffer());
            } else if (lineIsEmpty) {
                listener.onEmptyLine();
            }
            inInvalidLine = false;
            lineIsEmpty = true;
        } else if (inInvalidLine || next != ' ' && next != '\t' && next != '\r') {
            inInvalidLine |= next != '{';
            depth = inInvalidLine ? 0 : 1;
            lineIsEmpty = false;
            buffer.write(next);
        }
    }

    private String takeBuffer() {
        String text = buffer.toString(StandardCharsets.UTF_8);
        buffer.reset();
        return text;
    }
}
