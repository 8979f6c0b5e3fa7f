package passhatch.lab;

import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * The size of a fleet; options write it as REPLICASxSERVERS, such as 1000x300.
 *
 * @param replicas number of replicas of the proxy that send to the same servers
 * @param servers number of servers in the list
 */
record FleetSize(int replicas, int servers) {

    /**
     * Replicas times servers: the number of server states that all replicas hold, with which memory and time
     * grow.
     */
    long pairCount() {
        return (long) replicas * servers;
    }

    @Override
    public String toString() {
        return replicas + " x " + servers;
    }

    /** Reads a size from the command line; the message of its exception names what is expected. */
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
                throw new TypeConversionException("expected COPIESxSERVERS, got '" + text + "'");
            }
            throw new TypeConversionException("expected COPIESxSERVERS, got '" + text + "'");
        }
    }
}
