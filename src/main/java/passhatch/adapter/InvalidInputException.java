package passhatch.adapter;

/** A message of the simulator or a setting is invalid; the exception's message says what and where. */
public final class InvalidInputException extends Exception {

    private static final long serialVersionUID = 1L;

    InvalidInputException(String message) {
        super(message);
    }
}
