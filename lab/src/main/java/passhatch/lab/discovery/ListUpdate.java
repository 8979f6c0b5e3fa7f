package passhatch.lab.discovery;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A message of discovery with the full list or with changes.
 *
 * @param index version of the list after this message
 * @param snapshot true for the full list, false for changes
 */
record ListUpdate(long index, boolean snapshot, List<Endpoint> endpoints) {

    /** Layout of the JSON text. The protocol allows both, with the same meaning. */
    enum Layout {
        /** The message on one line. */
        LINE(JSON.std),
        /** The message on several indented lines. */
        INDENTED(JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT));

        private final JSON writer;

        Layout(JSON writer) {
            this.writer = writer;
        }
    }

    /** Returns the message as UTF-8, ending with a line feed. */
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
