package org.carobdoor.node.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events into complete events, so that a truncated event is never
 * forwarded, and keeps the id of the last complete one.
 *
 * <p>A line that begins like the head of an HTTP response is no event: an endpoint has sent another
 * response on the connection with which the stream ends. Nothing is taken from there on.
 */
final class EventBuffer implements AutoCloseable {
    private static final String ID_FIELD = "id:";
    private static final String RESPONSE_PREFIX = "HTTP/1.";
    private static final String COMMENT_PREFIX = ":";

    private final ByteBuf pending;
    private @Nullable String lastId;
    private int scanIndex;
    private int lineStart;
    private boolean foreign;

    EventBuffer(ByteBufAllocator allocator) {
        pending = allocator.buffer();
    }

    /** Appends and releases {@code data}. */
    void add(ByteBuf data) {
        pending.writeBytes(data);
        data.release();
    }

    /** Returns the complete events received since the last call; null if there are none. */
    @Nullable ByteBuf takeEvents() {
        int end = endOfLastEvent();
        if (end <= pending.readerIndex()) {
            return null;
        }
        ByteBuf events = pending.readBytes(end - pending.readerIndex());
        pending.discardSomeReadBytes();
        if (!foreign) {
            scanIndex = pending.readerIndex();
            lineStart = scanIndex;
        }
        updateLastId(events);
        return events;
    }

    /** Returns the bytes after the last complete event; null if there are none. */
    @Nullable ByteBuf takeRemainder() {
        if (!pending.isReadable()) {
            return null;
        }
        ByteBuf remainder = pending.readBytes(pending.readableBytes());
        updateLastId(remainder);
        return remainder;
    }

    /** Returns whether the bytes after the last complete event belong to another event. */
    boolean isInsideEvent() {
        return pending.toString(StandardCharsets.UTF_8)
                .lines()
                .anyMatch(line -> !line.isEmpty() && !line.startsWith(COMMENT_PREFIX));
    }

    /**
     * Returns whether {@code events} begin after the event {@code lastId}, as far as both have
     * numeric ids: ids increase in a stream.
     */
    static boolean continuesAfter(@Nullable String lastId, ByteBuf events) {
        Optional<String> firstId =
                events.toString(StandardCharsets.UTF_8)
                        .lines()
                        .filter(line -> line.startsWith(ID_FIELD))
                        .findFirst()
                        .map(line -> line.substring(ID_FIELD.length()).trim());
        if (lastId == null || firstId.isEmpty()) {
            return true;
        }
        try {
            return Long.parseLong(firstId.get()) > Long.parseLong(lastId);
        } catch (NumberFormatException e) {
            return true;
        }
    }

    /** Discards a truncated event. */
    void discardPartialEvent() {
        pending.clear();
        scanIndex = 0;
        lineStart = 0;
        foreign = false;
    }

    /** Returns the last id of a complete event; null if none had one. */
    @Nullable String lastId() {
        return lastId;
    }

    private int endOfLastEvent() {
        int end = -1;
        // An event ends with an empty line; lines end with LF or CR LF.
        int start = Math.max(scanIndex, pending.readerIndex());
        for (int i = start; i < pending.writerIndex() && !foreign; i++) {
            if (pending.getByte(i) == '\n') {
                foreign = isResponseHead(lineStart, i);
                lineStart = i + 1;
                if (!foreign && isEmptyLineBefore(i)) {
                    end = i + 1;
                }
            }
        }
        // The next bytes may complete the last line and with it the event.
        scanIndex = pending.writerIndex();
        return end;
    }

    private boolean isResponseHead(int start, int end) {
        return end - start >= RESPONSE_PREFIX.length()
                && pending.toString(start, RESPONSE_PREFIX.length(), StandardCharsets.ISO_8859_1)
                        .equals(RESPONSE_PREFIX);
    }

    private boolean isEmptyLineBefore(int newline) {
        int i = newline - 1;
        if (i >= pending.readerIndex() && pending.getByte(i) == '\r') {
            i--;
        }
        return i >= pending.readerIndex() && pending.getByte(i) == '\n';
    }

    private void updateLastId(ByteBuf events) {
        String text = events.toString(StandardCharsets.UTF_8);
        int idStart = text.startsWith(ID_FIELD) ? 0 : -1;
        int lastIdLine = text.lastIndexOf("\n" + ID_FIELD);
        if (lastIdLine >= 0) {
            idStart = lastIdLine + 1;
        }
        if (idStart >= 0) {
            int end = text.indexOf('\n', idStart);
            lastId =
                    text.substring(idStart + ID_FIELD.length(), end < 0 ? text.length() : end)
                            .trim();
        }
    }

    @Override
    public void close() {
        pending.release();
    }
}
