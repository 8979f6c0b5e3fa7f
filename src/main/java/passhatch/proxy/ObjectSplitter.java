package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Finds the JSON objects in what discovery sends, wherever lines and reads cut them. Netty's decoder for such
 * streams gives up at the first byte outside an object, and tells nothing of empty lines; here such a line is
 * passed over, and an empty one is a sign of life.
 */
final class ObjectSplitter {

    /** Hears what is in. */
    interface Listener {
        void object(String json);

        void emptyLine();

        /** A line, or what is in of it, that holds no object. */
        void noise(String line);
    }

    private final Listener listener;
    private final int longest;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    /** Brackets that are open; within an object it is above 0. */
    private int depth;
    private boolean inText;
    private boolean escaped;
    private boolean noise;
    private boolean lineIsEmpty = true;

    /** A splitter that takes no object, and no line, longer than so many bytes. */
    ObjectSplitter(int longest, Listener listener) {
        this.longest = longest;
        this.listener = listener;
    }

    /** Takes more bytes; false where what is in has grown too long to be an object. */
    boolean add(ByteBuf bytes) {
        while (bytes.isReadable()) {
            byte b = bytes.readByte();
            if (depth > 0) {
                within(b);
            } else {
                between(b);
            }
            if (held.size() > longest) {
                return false;
            }
        }
        return true;
    }

    /** Whether an object has begun that is not whole. */
    boolean isWithin() {
        return depth > 0;
    }

    /** Nothing more comes. */
    void end() {
        if (depth > 0 || noise) {
            listener.noise(take());
        }
    }

    private void within(byte b) {
        held.write(b);
        if (inText) {
            inText = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            inText = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if ((b == '}' || b == ']') && --depth == 0) {
            listener.object(take());
        }
    }

    private void between(byte b) {
        if (b == '\n') {
            if (noise) {
                listener.noise(take());
            } else if (lineIsEmpty) {
                listener.emptyLine();
            }
            noise = false;
            lineIsEmpty = true;
        } else if (noise || b != ' ' && b != '\t' && b != '\r') {
            noise |= b != '{';
            depth = noise ? 0 : 1;
            lineIsEmpty = false;
            held.write(b);
        }
    }

    private String take() {
        String text = held.toString(StandardCharsets.UTF_8);
        held.reset();
        return text;
    }
}
