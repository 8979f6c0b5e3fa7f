package passhatch.lab.pressure;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** Samples the memory that the processes of a proxy take together, until it is interrupted. */
final class MemorySampler {

    private static final int INTERVAL_MS = 20;

    private final List<DeployedProxy> proxies;
    private volatile long peakKb;

    MemorySampler(List<DeployedProxy> proxies) {
        this.proxies = proxies;
    }

    void run() throws InterruptedException {
        while (!Thread.interrupted()) {
            long totalKb = 0;
            for (DeployedProxy proxy : proxies) {
                totalKb += proxy.memoryKb("VmRSS");
            }
            peakKb = Math.max(peakKb, totalKb);
            TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
        }
    }

    /** The most that was taken at a time, in kB. */
    long peakKb() {
        return peakKb;
    }
}
