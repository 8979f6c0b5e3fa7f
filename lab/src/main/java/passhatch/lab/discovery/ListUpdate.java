package passhatch.lab.discovery;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One message of discovery.
 *
 * @param index the version of the list that it leads to
 * @param snapshot true where it is the whole list, false where it holds what has changed
 */
record ListUpdate(long index, boolean snapshot, List<Endpoint> endpoints) {

    /** How a message is laid out. Both are allowed, and mean the same. */
    enum Layout {
        /** All of it on one line. */
        LINE(JSON.std),
        /** Over several lines, indented. */
        INDENTED(JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT));

        private final JSON writer;

        Layout(JSON writer) {
            this.writer = writer;
        }
    }

    /** The message as bytes, with the end of its last line. */
    byte[] encode(Layout layout) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("index", index);
        json.put("snapshot", snapshot);
        json.put("endpoints", endpoints.stream().map(Endpoint::toJson).toList());
        try {
            return (layout.writer.asString(json) + "\n").getBytes(StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
