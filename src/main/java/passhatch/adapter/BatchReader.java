package passhatch.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/**
 * Reads batches of messages from the simulator, as JSON objects. Fields that are not known are ignored. The
 * message objects of a batch are reused by the next one.
 */
final class BatchReader {

    private final JsonParser parser;
    /** The messages of the batch, followed by spare ones of larger batches before it. */
    private final List<InputMessage> messages = new ArrayList<>();
    /** The instance of the group being read, at index 0; Integer.MIN_VALUE until its field is read. */
    private final int[] groupInstanceId = new int[1];
    private int messageCount;
    private long nowUs;
    private int line;

    BatchReader(InputStream in) throws IOException {
        parser = new JsonFactory().createParser(in);
    }

    /**
     * Reads the next batch.
     *
     * @return false at the end of the input
     * @throws IOException if the input cannot be read
     * @throws InvalidInputException if the batch is not valid JSON, lacks a field or has one of a wrong type
     */
    boolean readNext() throws IOException, InvalidInputException {
        try {
            JsonToken token = parser.nextToken();
            if (token == null) {
                return false;
            }
            line = parser.currentTokenLocation().getLineNr();
            expect(token, JsonToken.START_OBJECT, "a batch");
            messageCount = 0;
            nowUs = InputMessage.ABSENT;
            boolean groupsSeen = false;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String field = parser.currentName();
                parser.nextToken();
                switch (field) {
                    case "atTimeUs" -> nowUs = readLong(field);
                    case "groups" -> {
                        groupsSeen = true;
                        readGroups();
                    }
                    default -> parser.skipChildren();
                }
            }
            if (nowUs == InputMessage.ABSENT) {
                throw invalid("batch: field atTimeUs is missing");
            }
            if (!groupsSeen) {
                throw invalid("batch: field groups is missing");
            }
            return true;
        } catch (JsonProcessingException e) {
            var location = e.getLocation();
            throw new InvalidInputException("line " + (location == null ? line : location.getLineNr())
                    + ", column " + (location == null ? 0 : location.getColumnNr()) + ": not valid JSON: "
                    + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    /** Returns the number of messages in the batch, over all its groups. */
    int messageCount() {
        return messageCount;
    }

    /** Returns a message of the batch by its index, from 0; valid until the next batch is read. */
    InputMessage message(int index) {
        return messages.get(index);
    }

    /** Returns the time of the batch in microseconds, on the simulator's clock. */
    long nowUs() {
        return nowUs;
    }

    /** Returns the input line, from 1, on which the batch begins. */
    int line() {
        return line;
    }

    private void readGroups() throws IOException, InvalidInputException {
        expect(parser.currentToken(), JsonToken.START_ARRAY, "groups");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser.currentToken(), JsonToken.START_OBJECT, "an item of groups");
            int firstInGroup = messageCount;
            groupInstanceId[0] = Integer.MIN_VALUE;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String field = parser.currentName();
                parser.nextToken();
                switch (field) {
                    case "who" -> groupInstanceId[0] = (int) readLong(field);
                    case "input" -> readMessages();
                    default -> parser.skipChildren();
                }
            }
            if (groupInstanceId[0] == Integer.MIN_VALUE) {
                throw invalid("group: field who is missing");
            }
            for (int i = firstInGroup; i < messageCount; i++) {
                messages.get(i).instanceId = groupInstanceId[0];
            }
        }
    }

    private void readMessages() throws IOException, InvalidInputException {
        expect(parser.currentToken(), JsonToken.START_ARRAY, "input");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser.currentToken(), JsonToken.START_OBJECT, "an item of input");
            if (messageCount == messages.size()) {
                messages.add(new InputMessage());
            }
            InputMessage message = messages.get(messageCount++).reset(0, line);
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String field = parser.currentName();
                if (parser.nextToken() != JsonToken.VALUE_NULL) {
                    readField(message, field);
                }
            }
            if (message.type == null) {
                throw invalid("message: field msg is missing");
            }
        }
    }

    private void readField(InputMessage message, String field) throws IOException, InvalidInputException {
        switch (field) {
            case "msg" -> message.type = readString(field);
            case "opId" -> message.requestId = readString(field);
            case "backend" -> message.serverId = readString(field);
            case "ending" -> message.outcome = readString(field);
            case "mode" -> message.listMode = readString(field);
            case "last" -> message.requestEnded = readBoolean(field);
            case "profile" -> message.requestClass = readLong(field);
            case "billing" -> message.tenant = readLong(field);
            case "budgetUs" -> message.timeLeftUs = readLong(field);
            case "predictedUs" -> message.expectedWorkUs = readLong(field);
            case "marks" -> message.flags = readLong(field);
            case "elapsedUs" -> message.elapsedUs = readLong(field);
            case "leg" -> message.attempt = readLong(field);
            case "rosterId" -> message.listId = readLong(field);
            case "nonce64" -> {
                readLong(field);
                message.seed = parser.getBigIntegerValue().longValue();
            }
            case "stats" -> message.loadValues = readNumbers(field);
            case "nodesList" -> readServers(message.newServers());
            case "params" -> {
                expect(parser.currentToken(), JsonToken.START_OBJECT, field);
                message.settings = readObject();
            }
            default -> parser.skipChildren();
        }
    }

    /** Reads an array of numbers: null becomes -1, and numbers after the fourth are ignored. */
    private double[] readNumbers(String field) throws IOException, InvalidInputException {
        expect(parser.currentToken(), JsonToken.START_ARRAY, field);
        double[] values = new double[4];
        int count = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            double value = parser.currentToken() == JsonToken.VALUE_NULL ? -1 : readDouble(field);
            if (count < values.length) {
                values[count++] = value;
            }
        }
        return java.util.Arrays.copyOf(values, count);
    }

    private void readServers(List<Server> servers) throws IOException, InvalidInputException {
        expect(parser.currentToken(), JsonToken.START_ARRAY, "nodesList");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser.currentToken(), JsonToken.START_OBJECT, "an item of nodesList");
            String id = null;
            long startedAtUs = 0;
            int zone = 0;
            int cell = 0;
            int machineType = 0;
            ServerStatus status = null;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String field = parser.currentName();
                if (parser.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (field) {
                    case "backend" -> id = readString(field);
                    case "bootTimeUs" -> startedAtUs = readLong(field);
                    case "dc" -> zone = (int) readLong(field);
                    case "group" -> cell = (int) readLong(field);
                    case "model" -> machineType = (int) readLong(field);
                    case "readiness" -> status = serverStatus(readString(field));
                    default -> parser.skipChildren();
                }
            }
            if (id == null || status == null) {
                throw invalid("catalog: field " + (id == null ? "backend" : "readiness") + " is missing");
            }
            servers.add(new Server(id, startedAtUs, zone, cell, status, machineType));
        }
    }

    private ServerStatus serverStatus(String readiness) throws InvalidInputException {
        return switch (readiness) {
            case "U" -> ServerStatus.UP;
            case "L" -> ServerStatus.DRAINING;
            case "D" -> ServerStatus.GONE;
            default -> throw invalid("catalog: readiness '" + readiness + "' is not known");
        };
    }

    private Map<String, Object> readObject() throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            parser.nextToken();
            map.put(field, readValue());
        }
        return map;
    }

    private Object readValue() throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT:
                return readObject();
            case START_ARRAY:
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(readValue());
                }
                return list;
            case VALUE_NUMBER_INT:
            case VALUE_NUMBER_FLOAT:
                return parser.getNumberValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            case VALUE_NULL:
                return null;
            default:
                return parser.getText();
        }
    }

    /** Reads an integer; one that does not fit into a long becomes Long.MAX_VALUE. */
    private long readLong(String field) throws IOException, InvalidInputException {
        if (parser.currentToken() == JsonToken.VALUE_NUMBER_INT) {
            return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER ? Long.MAX_VALUE
                    : parser.getLongValue();
        }
        throw invalid("field " + field + " must be a whole number");
    }

    private double readDouble(String field) throws IOException, InvalidInputException {
        if (!parser.currentToken().isNumeric()) {
            throw invalid("field " + field + " must hold only numbers or null");
        }
        return parser.getDoubleValue();
    }

    private String readString(String field) throws IOException, InvalidInputException {
        if (parser.currentToken() != JsonToken.VALUE_STRING) {
            throw invalid("field " + field + " must be a string");
        }
        return parser.getText();
    }

    private boolean readBoolean(String field) throws IOException, InvalidInputException {
        if (!parser.currentToken().isBoolean()) {
            throw invalid("field " + field + " must be true or false");
        }
        return parser.getBooleanValue();
    }

    private void expect(JsonToken actual, JsonToken expected, String element) throws InvalidInputException {
        if (actual != expected) {
            throw invalid(element + " must be "
                    + (expected == JsonToken.START_OBJECT ? "an object" : "an array"));
        }
    }

    private InvalidInputException invalid(String problem) {
        return new InvalidInputException("line " + line + ": " + problem);
    }
}
