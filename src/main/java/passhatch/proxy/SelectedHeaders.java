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

    /** Most fields of the head of a request, kept or not: each costs processor time. */
    static final int MAX_REQUEST_FIELDS = 128;

    /** Thrown for a head with more fields than allowed. */
    static final class TooManyFieldsException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        TooManyFieldsException() {
            super("too many header fields");
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
    private final int maxFields;
    private int receivedFields;

    private SelectedHeaders(List<AsciiString> names, int maxFields) {
        super(NAME_VALIDATOR, VALUE_VALIDATOR, HASH_BUCKETS);
        this.names = names;
        this.maxFields = maxFields;
    }

    /**
     * Returns a configuration of a decoder of requests that keeps the framing, the named fields, and no
     * trailers.
     *
     * @param names names of the fields to keep, in any case
     */
    static HttpDecoderConfig forRequests(String... names) {
        return decoderConfig(List.of(names), MAX_REQUEST_FIELDS);
    }

    /** The same for responses, which come from servers and may have any number of fields. */
    static HttpDecoderConfig forResponses(String... names) {
        return decoderConfig(List.of(names), Integer.MAX_VALUE);
    }

    private static HttpDecoderConfig decoderConfig(List<String> names, int maxFields) {
        List<AsciiString> kept = names.stream().map(AsciiString::cached).toList();
        return new HttpDecoderConfig().setHeadersFactory(factory(kept, maxFields))
                .setTrailersFactory(factory(List.of(), maxFields));
    }

    private static HttpHeadersFactory factory(List<AsciiString> names, int maxFields) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new SelectedHeaders(names, maxFields);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new SelectedHeaders(names, maxFields);
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
        if (receivedFields > maxFields) {
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
