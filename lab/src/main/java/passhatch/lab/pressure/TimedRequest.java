package passhatch.lab.pressure;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import passhatch.lab.pressure.HttpCall.Ending;
import passhatch.lab.pressure.HttpCall.Result;

/** A request whose server is slow, or whose client leaves, and whose end is timed. */
enum TimedRequest {
    /** A request of 400 to 900 kB with a length, whose server reads 90 kB a second. */
    UPLOAD_WITH_LENGTH {
        @Override
        Result send(PressureRun run, int number) throws IOException {
            return upload(run, number, false, 90_000);
        }
    },
    /** The same in chunks. */
    UPLOAD_IN_CHUNKS {
        @Override
        Result send(PressureRun run, int number) throws IOException {
            return upload(run, number, true, 90_000);
        }
    },
    /** The same with a server that reads 400 kB a second. */
    UPLOAD_TO_FASTER_SERVER {
        @Override
        Result send(PressureRun run, int number) throws IOException {
            return upload(run, number, number % 2 == 0, 400_000);
        }
    },
    /** Requests of 400 to 900 kB, whose servers read as fast as they come. */
    UPLOAD_TO_FAST_SERVER {
        @Override
        Result send(PressureRun run, int number) throws IOException {
            return upload(run, number, number % 2 == 0, Integer.MAX_VALUE);
        }
    },
    /** A long response with a length, 8 to 60 kB a second, with a pause near its start. */
    PAUSED_RESPONSE_WITH_LENGTH {
        @Override
        Result send(PressureRun run, int number) throws IOException {
            return pausedResponse(run, number, "length");
        }
    },
    /** The same in chunks. */
    PAUSED_RESPONSE_IN_CHUNKS {
        @Override
        Result send(PressureRun run, int number) throws IOException {
            return pausedResponse(run, number, "chunked");
        }
    },
    /** The same up to the end of the connection. */
    PAUSED_RESPONSE_TO_THE_CLOSE {
        @Override
        Result send(PressureRun run, int number) throws IOException {
            return pausedResponse(run, number, "close");
        }
    },
    /** A request that must not run twice, sent again under its id after its client has left. */
    REPEATED_ID {
        @Override
        Result send(PressureRun run, int number) throws IOException, InterruptedException {
            String request = HttpCall.postHead("/settle/1?serviceMs=100", "repeated" + number, SHORT_TIME, 0);
            try (HttpCall first = new HttpCall(run.proxy().address(), 0)) {
                first.send(request);
                TimeUnit.MILLISECONDS.sleep(FIRST_COPY_MS);
            }
            TimeUnit.MILLISECONDS.sleep(number * 200L / REQUESTS);
            long sentNs = System.nanoTime();
            try (HttpCall second = new HttpCall(run.proxy().address(), 0)) {
                second.send(request);
                return second.read(sentNs, SHORT_TIME, PATIENCE);
            }
        }
    },
    /** A long request whose client has written all of it and closes, while its server reads slowly. */
    LEFT_UPLOAD {
        @Override
        Result send(PressureRun run, int number) throws IOException {
            int bytes = MIN_UPLOAD_BYTES + number * UPLOAD_STEP_BYTES;
            try (HttpCall call = new HttpCall(run.proxy().address(), 0)) {
                call.send(HttpCall.postHead("/book/1?readRate=800000", "left" + number,
                        DeployedProxy.DEADLINE, bytes) + "x".repeat(bytes));
            }
            run.clientLeft("left" + number);
            return LEFT;
        }
    },
    /** Forty requests sent at once, 60 kB to 2.4 MB, by a client that closes then. */
    LEFT_PIPELINED {
        @Override
        Result send(PressureRun run, int number) throws IOException {
            int bytes = 1_500 + number * 2_400;
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < PIPELINED; i++) {
                requests.append(HttpCall.postHead("/settle/1?serviceMs=50", "left" + number + "-" + i,
                        DeployedProxy.DEADLINE, bytes)).append("x".repeat(bytes));
            }
            try (HttpCall call = new HttpCall(run.proxy().address(), 0)) {
                call.send(requests.toString());
            }
            run.clientLeft("left" + number + "-");
            return LEFT;
        }
    };

    private static final int PIPELINED = 40;
    private static final Result LEFT = new Result(Ending.CLOSED, 0, 0);
    /** How many are sent at the same time. */
    static final int REQUESTS = 24;
    private static final Duration SHORT_TIME = Duration.ofMillis(800);
    private static final Duration PATIENCE = Duration.ofSeconds(12);
    private static final int FIRST_COPY_MS = 50;
    private static final int MIN_UPLOAD_BYTES = 400_000;
    private static final int UPLOAD_STEP_BYTES = 20_000;
    private static final int CHUNK_BYTES = 10_000;
    private static final int LONG_RESPONSE_BYTES = 80_000;
    private static final int PAUSE_AT_BYTES = 3_000;

    /** Sends the request to the run's proxy and waits for its end. */
    abstract Result send(PressureRun run, int number) throws IOException, InterruptedException;

    private static Result upload(PressureRun run, int number, boolean chunked, int readRate)
            throws IOException {
        int bytes = MIN_UPLOAD_BYTES + number * UPLOAD_STEP_BYTES;
        String path = (number % 2 == 0 ? "/settle/1" : "/book/1") + "?readRate=" + readRate;
        try (HttpCall call = new HttpCall(run.proxy().address(), 0)) {
            call.send(HttpCall.postHead(path, "upload" + number, SHORT_TIME, chunked ? -1 : bytes));
            String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
            call.send(chunked ? chunk.repeat(bytes / CHUNK_BYTES) + "0\r\n\r\n" : "x".repeat(bytes));
            return call.read(System.nanoTime(), SHORT_TIME, PATIENCE);
        }
    }

    /** Reads a long response; it counts as served if it is whole, however long its server takes. */
    private static Result pausedResponse(PressureRun run, int number, String framing)
            throws IOException {
        int rate = 8_000 + number * 52_000 / REQUESTS;
        String path = "/read/1?framing=" + framing + "&rate=" + rate + "&length=" + LONG_RESPONSE_BYTES
                + "&pauseAt=" + PAUSE_AT_BYTES + "&pauseMs=" + (number % 2 == 0 ? 700 : 1_500);
        try (HttpCall call = new HttpCall(run.proxy().address(), 0)) {
            call.send(HttpCall.get(path, "response" + number, SHORT_TIME));
            Result result = call.read(System.nanoTime(), SHORT_TIME, Duration.ofSeconds(30));
            return result.status() == 200 && result.ending() == Ending.LATE
                    ? new Result(Ending.SERVED, 200, result.lateMs()) : result;
        }
    }
}
