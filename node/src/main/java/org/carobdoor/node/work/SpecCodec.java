package org.carobdoor.node.work;

import java.nio.ByteBuffer;
import java.time.Instant;
import org.carobdoor.Bytes;

/** Writes a {@link WorkSpec}, but for its deadline, into the payload that copies carry. */
final class SpecCodec {
    private static final int HEADER = 1 + Integer.BYTES;

    private SpecCodec() {}

    static Bytes encode(WorkSpec spec) {
        byte[] entry = Bytes.utf8(spec.entry()).toByteArray();
        byte[] payload = spec.payload().toByteArray();
        var out = ByteBuffer.allocate(HEADER + entry.length + payload.length);
        out.put((byte) (spec.repeatable() ? 1 : 0));
        out.putInt(entry.length).put(entry).put(payload);
        return Bytes.of(out.array());
    }

    /** Reads what {@link #encode} wrote; copies are authenticated, so others do not occur. */
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
