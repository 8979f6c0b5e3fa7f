package passhatch.lab.control;

/**
 * A size at which the control path is measured.
 *
 * @param watches number of proxies, each with one watch
 * @param lines number of backends in the list
 */
public record ControlPathSize(int watches, int lines) {

    /**
     * Parses a size such as 2000x300.
     *
     * @throws IllegalArgumentException if the text has another form or a number is below 1
     */
    public static ControlPathSize parse(String text) {
        String[] parts = text.split("x");
        if (parts.length != 2) {
            throw new IllegalArgumentException("size '" + text + "' is not of the form WATCHESxLINES");
        }
        ControlPathSize size = new ControlPathSize(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
        if (size.watches < 1 || size.lines < 1) {
            throw new IllegalArgumentException("both numbers of size '" + text + "' must be above 0");
        }
        return size;
    }

    @Override
    public String toString() {
        return watches + " watches x " + lines;
    }
}
