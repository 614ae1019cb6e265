package org.carobdoor.node.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Cuts a stream of server-sent events into whole events, so that an event that breaks off is never
 * passed on, and remembers the identifier of the last whole one.
 */
final class EventBuffer implements AutoCloseable {
    private static final String ID_FIELD = "id:";

    private final ByteBuf pending;
    private @Nullable String lastId;
    private int scanned;

    EventBuffer(ByteBufAllocator allocator) {
        pending = allocator.buffer();
    }

    /** Adds bytes and releases {@code data}. */
    void add(ByteBuf data) {
        pending.writeBytes(data);
        data.release();
    }

    /** Returns the whole events received since the last call; null if there are none. */
    @Nullable ByteBuf takeEvents() {
        int end = endOfLastEvent();
        if (end <= pending.readerIndex()) {
            return null;
        }
        ByteBuf events = pending.readBytes(end - pending.readerIndex());
        pending.discardSomeReadBytes();
        scanned = pending.readerIndex();
        noteId(events);
        return events;
    }

    /** Returns what is left after the last whole event; null if nothing is. */
    @Nullable ByteBuf takeRest() {
        if (!pending.isReadable()) {
            return null;
        }
        ByteBuf rest = pending.readBytes(pending.readableBytes());
        noteId(rest);
        return rest;
    }

    /** Forgets an event that broke off. */
    void dropPartial() {
        pending.clear();
        scanned = 0;
    }

    /** Returns the identifier of the last whole event; null if none had one. */
    @Nullable String lastId() {
        return lastId;
    }

    private int endOfLastEvent() {
        int end = -1;
        // An event ends with an empty line; lines end with LF or CR LF.
        for (int i = Math.max(scanned, pending.readerIndex()); i < pending.writerIndex(); i++) {
            if (pending.getByte(i) == '\n' && isEmptyLineBefore(i)) {
                end = i + 1;
            }
        }
        // The line that is still open may end the event with the next bytes.
        scanned = pending.writerIndex();
        return end;
    }

    private boolean isEmptyLineBefore(int newline) {
        int i = newline - 1;
        if (i >= pending.readerIndex() && pending.getByte(i) == '\r') {
            i--;
        }
        return i >= pending.readerIndex() && pending.getByte(i) == '\n';
    }

    private void noteId(ByteBuf events) {
        String text = events.toString(StandardCharsets.UTF_8);
        int at = text.startsWith(ID_FIELD) ? 0 : -1;
        int next = text.lastIndexOf("\n" + ID_FIELD);
        if (next >= 0) {
            at = next + 1;
        }
        if (at >= 0) {
            int end = text.indexOf('\n', at);
            lastId = text.substring(at + ID_FIELD.length(), end < 0 ? text.length() : end).trim();
        }
    }

    @Override
    public void close() {
        pending.release();
    }
}
