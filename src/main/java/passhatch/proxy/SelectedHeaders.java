package passhatch.proxy;

import io.netty.handler.codec.DefaultHeaders.NameValidator;
import io.netty.handler.codec.DefaultHeaders.ValueValidator;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * The fields of a received head that the proxy uses; all fields are validated, and others are not kept. A
 * field of five bytes on the wire takes some 150 bytes of heap, so a peer could fill the heap with fields
 * that nobody reads.
 */
final class SelectedHeaders extends DefaultHttpHeaders {

    /** Most fields of a head, kept or not: each costs processor time. */
    static final int MAX_FIELDS = 128;

    /** Thrown for a head with more than {@link #MAX_FIELDS} fields. */
    static final class TooManyFieldsException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        TooManyFieldsException() {
            super("more than " + MAX_FIELDS + " header fields");
        }

        /** Not filled in, as clients can cause any number of these. */
        @Override
        public synchronized Throwable fillInStackTrace() {
            return this;
        }
    }

    /** Fields that decide how a message is framed and whether its connection is kept. */
    private static final List<AsciiString> FRAMING = List.of(HttpHeaderNames.CONTENT_LENGTH,
            HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.CONNECTION, HttpHeaderNames.EXPECT);
    private static final NameValidator<CharSequence> NAME_VALIDATOR =
            DefaultHttpHeadersFactory.headersFactory().getNameValidator();
    private static final ValueValidator<CharSequence> VALUE_VALIDATOR =
            DefaultHttpHeadersFactory.headersFactory().getValueValidator();
    private static final int HASH_BUCKETS = 8;

    private final List<AsciiString> names;
    private int receivedFields;

    private SelectedHeaders(List<AsciiString> names) {
        super(NAME_VALIDATOR, VALUE_VALIDATOR, HASH_BUCKETS);
        this.names = names;
    }

    /**
     * Returns a configuration of a decoder that keeps the framing of messages, the named fields, and no
     * trailers.
     *
     * @param names names of the fields to keep, in any case
     */
    static HttpDecoderConfig decoderConfig(String... names) {
        List<AsciiString> kept = List.of(names).stream().map(AsciiString::cached).toList();
        return new HttpDecoderConfig().setHeadersFactory(factory(kept))
                .setTrailersFactory(factory(List.of()));
    }

    private static HttpHeadersFactory factory(List<AsciiString> names) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new SelectedHeaders(names);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new SelectedHeaders(names);
            }
        };
    }

    /**
     * Validates a field, and keeps it if the proxy uses it.
     *
     * @throws IllegalArgumentException if the field is malformed
     * @throws TooManyFieldsException if it is one too many
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        receivedFields++;
        if (receivedFields > MAX_FIELDS) {
            throw new TooManyFieldsException();
        }
        if (!contains(FRAMING, name) && !contains(names, name)) {
            NAME_VALIDATOR.validateName(name);
            VALUE_VALIDATOR.validate((CharSequence) value);
            return this;
        }
        return super.add(name, value);
    }

    private static boolean contains(List<AsciiString> list, CharSequence name) {
        for (AsciiString listed : list) {
            if (listed.contentEqualsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }
}
