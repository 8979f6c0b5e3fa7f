package passhatch.lab;

import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * A fleet's size, written as 1000x300.
 *
 * @param replicas instances that send to the same servers
 * @param servers servers in the list
 */
record FleetSize(int replicas, int servers) {

    /** How many views of a server the instances hold together: what memory and time grow with. */
    long pairCount() {
        return (long) replicas * servers;
    }

    @Override
    public String toString() {
        return replicas + " x " + servers;
    }

    /** Reads a size from the command line. */
    static final class Converter implements ITypeConverter<FleetSize> {
        @Override
        public FleetSize convert(String text) {
            String[] parts = text.split("x");
            try {
                FleetSize size = new FleetSize(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
                if (parts.length == 2 && size.replicas > 0 && size.servers > 0) {
                    return size;
                }
            } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
                throw new TypeConversionException("COPIESxSERVERS is wanted, not '" + text + "'");
            }
            throw new TypeConversionException("COPIESxSERVERS is wanted, not '" + text + "'");
        }
    }
}
