package passhatch.lab.control;

/**
 * A size to measure at.
 *
 * @param watches proxies, each with one watch
 * @param lines backends in the list
 */
public record ControlPathSize(int watches, int lines) {

    /** Reads a text like 2000x300. */
    public static ControlPathSize parse(String text) {
        String[] parts = text.split("x");
        if (parts.length != 2) {
            throw new IllegalArgumentException("'" + text + "' is not WATCHESxLINES");
        }
        ControlPathSize size = new ControlPathSize(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
        if (size.watches < 1 || size.lines < 1) {
            throw new IllegalArgumentException("'" + text + "' must be above 0");
        }
        return size;
    }

    @Override
    public String toString() {
        return watches + " watches x " + lines;
    }
}
