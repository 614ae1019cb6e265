package org.carobdoor.internal.claims;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;

/**
 * Encodes and decodes the stored values of a claim log.
 *
 * <p>A value starts with a version byte and ends with a CRC-32C checksum. Numbers are varints,
 * times are in whole seconds, times and segment numbers are delta-encoded, and node identifiers are
 * stored in a table before the records. A record takes 16 bytes each for key and token, and about 5
 * bytes for the rest. The encoding is deterministic: equal content has equal bytes.
 */
public final class ClaimCodec {
    private static final int VERSION = 1;

    /** Typical size of a record, including its share of the table of holders. */
    static final int TYPICAL_RECORD_BYTES = 40;

    /**
     * Minimum size of a record: key, token, and at least one byte each for time, state and holder.
     */
    private static final int MIN_RECORD_BYTES = 2 * Id128.BYTES + 3;

    private ClaimCodec() {}

    /** Encodes the head of a log. */
    public static Bytes encodeHead(LogHead head) {
        ByteWriter out = new ByteWriter();
        out.writeVarint(VERSION);
        out.writeVarint(head.batches().size());
        head.batches().forEach(out::writeId);
        out.writeVarint(head.trimmedUntil().getEpochSecond());
        out.writeVarint(head.segments().size());
        long number = 0;
        long until = head.trimmedUntil().getEpochSecond();
        for (SegmentInfo segment : head.segments()) {
            out.writeVarint(segment.number() - number);
            out.writeSignedVarint(segment.latestRememberUntil().getEpochSecond() - until);
            number = segment.number();
            until = segment.latestRememberUntil().getEpochSecond();
        }
        out.writeVarint(head.dropped().size());
        head.dropped().forEach(out::writeVarint);
        writeRecords(out, head.records());
        return out.toBytes();
    }

    /** Encodes the records of a segment. */
    public static Bytes encodeSegment(List<ClaimRecord> records) {
        ByteWriter out = new ByteWriter();
        out.writeVarint(VERSION);
        writeRecords(out, records);
        return out.toBytes();
    }

    /** Decodes a head; returns a {@link FailureKind#REJECTED} failure if the value is malformed. */
    public static Result<LogHead> decodeHead(Bytes value) {
        return decode(value, "claims.decodeHead", ClaimCodec::readHead);
    }

    /**
     * Decodes a segment; returns a {@link FailureKind#REJECTED} failure if the value is malformed.
     */
    public static Result<List<ClaimRecord>> decodeSegment(Bytes value) {
        return decode(value, "claims.decodeSegment", ClaimCodec::readRecords);
    }

    private static <T> Result<T> decode(Bytes value, String step, Function<ByteReader, T> body) {
        try {
            ByteReader in = new ByteReader(value);
            long version = in.readVarint();
            ByteReader.check(version == VERSION, "unsupported format version " + version);
            T decoded = body.apply(in);
            in.checkEnd();
            return Result.ok(decoded);
        } catch (MalformedValueException | IllegalArgumentException | DateTimeException e) {
            return Result.err(FailureKind.REJECTED, step, "local", String.valueOf(e.getMessage()));
        }
    }

    private static LogHead readHead(ByteReader in) {
        List<Id128> batches = new ArrayList<>();
        for (int i = in.readCount(Id128.BYTES); i > 0; i--) {
            batches.add(in.readId());
        }
        long trimmedUntilSeconds = in.readVarint();
        List<SegmentInfo> segments = new ArrayList<>();
        long number = 0;
        long until = trimmedUntilSeconds;
        for (int i = in.readCount(2); i > 0; i--) {
            long step = in.readVarint();
            ByteReader.check(step > 0, "segments out of order");
            number += step;
            until += in.readSignedVarint();
            segments.add(new SegmentInfo(number, Instant.ofEpochSecond(until)));
        }
        List<Long> dropped = new ArrayList<>();
        for (int i = in.readCount(1); i > 0; i--) {
            dropped.add(in.readVarint());
        }
        Instant trimmedUntil = Instant.ofEpochSecond(trimmedUntilSeconds);
        return new LogHead(batches, trimmedUntil, segments, dropped, readRecords(in));
    }

    private static void writeRecords(ByteWriter out, List<ClaimRecord> records) {
        Map<String, Integer> holders = new LinkedHashMap<>();
        records.forEach(record -> holders.putIfAbsent(record.holder(), holders.size()));
        out.writeVarint(holders.size());
        holders.keySet().forEach(out::writeString);
        out.writeVarint(records.size());
        long until = 0;
        for (ClaimRecord record : records) {
            out.writeId(record.key());
            out.writeId(record.token());
            out.writeSignedVarint(record.rememberUntil().getEpochSecond() - until);
            until = record.rememberUntil().getEpochSecond();
            out.writeVarint(record.status() * 3L + record.state().ordinal());
            out.writeVarint(holders.getOrDefault(record.holder(), 0));
        }
    }

    private static List<ClaimRecord> readRecords(ByteReader in) {
        List<String> holders = new ArrayList<>();
        for (int i = in.readCount(1); i > 0; i--) {
            holders.add(in.readString());
        }
        List<ClaimRecord> records = new ArrayList<>();
        long until = 0;
        for (int i = in.readCount(MIN_RECORD_BYTES); i > 0; i--) {
            Id128 key = in.readId();
            Id128 token = in.readId();
            until += in.readSignedVarint();
            long statusAndState = in.readVarint();
            long holder = in.readVarint();
            ByteReader.check(statusAndState >= 0 && statusAndState < 3_000, "status out of range");
            ByteReader.check(holder >= 0 && holder < holders.size(), "unknown holder");
            ClaimState state = ClaimState.values()[(int) statusAndState % 3];
            int status = (int) statusAndState / 3;
            records.add(
                    new ClaimRecord(
                            key,
                            token,
                            Instant.ofEpochSecond(until),
                            state,
                            status,
                            holders.get((int) holder)));
        }
        return records;
    }
}
