package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Finds the JSON objects in what discovery sends, wherever lines and reads cut them. Netty's decoder for such
 * streams gives up at the first byte outside an object, and tells nothing of empty lines; here such a line is
 * passed over, and an empty one is a sign of life.
 */
final class JsonObjectSplitter {

    /** Hears what is in. */
    interface Listener {
        void onObject(String json);

        void onEmptyLine();

        /** A line, or what is in of it, that holds no object. */
        void onInvalidLine(String line);
    }

    private final Listener listener;
    private final int maxBytes;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    /** Brackets that are open; within an object it is above 0. */
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean inInvalidLine;
    private boolean lineIsEmpty = true;

    /** A splitter that takes no object, and no line, longer than so many bytes. */
    JsonObjectSplitter(int maxBytes, Listener listener) {
        this.maxBytes = maxBytes;
        this.listener = listener;
    }

    /** Takes more bytes; false where what is in has grown too long to be an object. */
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

    /** Whether an object has begun that is not whole. */
    boolean isInsideObject() {
        return depth > 0;
    }

    /** Nothing more comes. */
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
