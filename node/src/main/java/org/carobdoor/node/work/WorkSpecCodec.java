package org.carobdoor.node.work;

import java.nio.ByteBuffer;
import java.time.Instant;
import org.carobdoor.Bytes;

/** Encodes a {@link WorkSpec} without its deadline as the payload of work copies. */
final class WorkSpecCodec {
    private static final int HEADER_BYTES = 1 + Integer.BYTES;

    private WorkSpecCodec() {}

    static Bytes encode(WorkSpec spec) {
        byte[] entry = Bytes.utf8(spec.entry()).toByteArray();
        byte[] payload = spec.payload().toByteArray();
        var out = ByteBuffer.allocate(HEADER_BYTES + entry.length + payload.length);
        out.put((byte) (spec.repeatable() ? 1 : 0));
        out.putInt(entry.length).put(entry).put(payload);
        return Bytes.of(out.array());
    }

    /**
     * Decodes the output of {@link #encode}. Copies are authenticated, so the input is not
     * validated.
     */
    static WorkSpec decode(Bytes bytes, Instant deadline) {
        var in = ByteBuffer.wrap(bytes.toByteArray());
        boolean repeatable = in.get() == 1;
        byte[] entry = new byte[in.getInt()];
        in.get(entry);
        byte[] payload = new byte[in.remaining()];
        in.get(payload);
        return new WorkSpec(Bytes.of(entry).toUtf8(), Bytes.of(payload), repeatable, deadline);
    }
}
