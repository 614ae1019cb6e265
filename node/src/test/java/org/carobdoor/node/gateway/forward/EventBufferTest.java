package org.carobdoor.node.gateway.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Guards against forwarding partial events, and against resuming a stream after the wrong event.
 */
final class EventBufferTest {
    private final EventBuffer buffer = new EventBuffer(UnpooledByteBufAllocator.DEFAULT);

    private String addAndTake(String bytes) {
        buffer.add(Unpooled.copiedBuffer(bytes, StandardCharsets.UTF_8));
        ByteBuf events = buffer.takeEvents();
        return events == null ? "" : events.toString(StandardCharsets.UTF_8);
    }

    @Test
    void completeEventsAreReturnedAndPartialOnesKept() {
        assertThat(addAndTake("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(buffer.lastId()).isEqualTo("1");
        assertThat(addAndTake("ta: b\n")).isEmpty();
        assertThat(addAndTake("\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(buffer.lastId()).isEqualTo("2");
    }

    @Test
    void splittingTheBytesAnywhereGivesTheSameEvents() {
        String text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        for (int splitIndex = 1; splitIndex < text.length(); splitIndex++) {
            try (EventBuffer b = new EventBuffer(UnpooledByteBufAllocator.DEFAULT)) {
                StringBuilder out = new StringBuilder();
                for (String part :
                        new String[] {text.substring(0, splitIndex), text.substring(splitIndex)}) {
                    b.add(Unpooled.copiedBuffer(part, StandardCharsets.UTF_8));
                    ByteBuf events = b.takeEvents();
                    if (events != null) {
                        out.append(events.toString(StandardCharsets.UTF_8));
                    }
                }
                assertThat(out.toString()).isEqualTo(text);
                assertThat(b.lastId()).isEqualTo("3");
            }
        }
    }

    @Test
    void truncatedEventIsDiscarded() {
        addAndTake("id: 1\ndata: a\n\nid: 2\nda");
        buffer.discardPartialEvent();
        assertThat(addAndTake("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    }

    /** Guards against forwarding another response of the endpoint as an event. */
    @Test
    void responseHeadSplitAnywhereIsNoEvent() {
        String event = "id: 1\ndata: HTTP/1.1\n\n";
        String text = event + "HTTP/1.1 500 X\r\nA: b\r\n\r\nid: 2\ndata: b\n\n";
        for (int splitIndex = 1; splitIndex < text.length(); splitIndex++) {
            buffer.discardPartialEvent();
            String taken =
                    addAndTake(text.substring(0, splitIndex))
                            + addAndTake(text.substring(splitIndex));
            assertThat(taken).isEqualTo(event);
            assertThat(buffer.isInsideEvent()).isTrue();
        }
    }
}
