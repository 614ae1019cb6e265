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
 * Encodes the values of a claim log.
 *
 * <p>A value starts with a version byte and ends with a CRC-32C. Times are whole seconds, numbers
 * have variable length, times and segment numbers are written as differences, and node identifiers
 * go into a table in front of the records. A record takes 16 + 16 bytes for key and token and about
 * 5 bytes for the rest. The encoding of equal content is equal.
 */
public final class ClaimCodec {
    private static final int VERSION = 1;

    /** What a record takes with a table of holders of usual size. */
    static final int TYPICAL_RECORD_BYTES = 40;

    /** Key, token, time, state and holder take at least this much. */
    private static final int MIN_RECORD_BYTES = 2 * Id128.BYTES + 3;

    private ClaimCodec() {}

    /** Encodes a head. */
    public static Bytes encodeHead(LogHead head) {
        ByteWriter out = new ByteWriter();
        out.unsigned(VERSION);
        out.unsigned(head.batches().size());
        head.batches().forEach(out::id);
        out.unsigned(head.forgottenUntil().getEpochSecond());
        out.unsigned(head.segments().size());
        long number = 0;
        long until = head.forgottenUntil().getEpochSecond();
        for (SegmentInfo segment : head.segments()) {
            out.unsigned(segment.number() - number);
            out.signed(segment.latestRememberUntil().getEpochSecond() - until);
            number = segment.number();
            until = segment.latestRememberUntil().getEpochSecond();
        }
        out.unsigned(head.dropped().size());
        head.dropped().forEach(out::unsigned);
        writeRecords(out, head.records());
        return out.toBytes();
    }

    /** Encodes a segment. */
    public static Bytes encodeSegment(List<ClaimRecord> records) {
        ByteWriter out = new ByteWriter();
        out.unsigned(VERSION);
        writeRecords(out, records);
        return out.toBytes();
    }

    /** Decodes a head; fails with {@link FailureKind#REJECTED} if the value is damaged. */
    public static Result<LogHead> decodeHead(Bytes value) {
        return decode(value, "claims.decodeHead", ClaimCodec::readHead);
    }

    /** Decodes a segment; fails with {@link FailureKind#REJECTED} if the value is damaged. */
    public static Result<List<ClaimRecord>> decodeSegment(Bytes value) {
        return decode(value, "claims.decodeSegment", ClaimCodec::readRecords);
    }

    private static <T> Result<T> decode(Bytes value, String step, Function<ByteReader, T> body) {
        try {
            ByteReader in = new ByteReader(value);
            long version = in.unsigned();
            ByteReader.check(version == VERSION, "unknown version " + version);
            T decoded = body.apply(in);
            in.end();
            return Result.ok(decoded);
        } catch (MalformedValueException | IllegalArgumentException | DateTimeException e) {
            return Result.err(FailureKind.REJECTED, step, "local", String.valueOf(e.getMessage()));
        }
    }

    private static LogHead readHead(ByteReader in) {
        List<Id128> batches = new ArrayList<>();
        for (int i = in.count(Id128.BYTES); i > 0; i--) {
            batches.add(in.id());
        }
        long forgottenUntil = in.unsigned();
        List<SegmentInfo> segments = new ArrayList<>();
        long number = 0;
        long until = forgottenUntil;
        for (int i = in.count(2); i > 0; i--) {
            long step = in.unsigned();
            ByteReader.check(step > 0, "segments out of order");
            number += step;
            until += in.signed();
            segments.add(new SegmentInfo(number, Instant.ofEpochSecond(until)));
        }
        List<Long> dropped = new ArrayList<>();
        for (int i = in.count(1); i > 0; i--) {
            dropped.add(in.unsigned());
        }
        Instant forgotten = Instant.ofEpochSecond(forgottenUntil);
        return new LogHead(batches, forgotten, segments, dropped, readRecords(in));
    }

    private static void writeRecords(ByteWriter out, List<ClaimRecord> records) {
        Map<String, Integer> holders = new LinkedHashMap<>();
        records.forEach(record -> holders.putIfAbsent(record.holder(), holders.size()));
        out.unsigned(holders.size());
        holders.keySet().forEach(out::text);
        out.unsigned(records.size());
        long until = 0;
        for (ClaimRecord record : records) {
            out.id(record.key());
            out.id(record.token());
            out.signed(record.rememberUntil().getEpochSecond() - until);
            until = record.rememberUntil().getEpochSecond();
            out.unsigned(record.status() * 3L + record.state().ordinal());
            out.unsigned(holders.getOrDefault(record.holder(), 0));
        }
    }

    private static List<ClaimRecord> readRecords(ByteReader in) {
        List<String> holders = new ArrayList<>();
        for (int i = in.count(1); i > 0; i--) {
            holders.add(in.text());
        }
        List<ClaimRecord> records = new ArrayList<>();
        long until = 0;
        for (int i = in.count(MIN_RECORD_BYTES); i > 0; i--) {
            Id128 key = in.id();
            Id128 token = in.id();
            until += in.signed();
            long outcome = in.unsigned();
            long holder = in.unsigned();
            ByteReader.check(outcome >= 0 && outcome < 3_000, "status out of range");
            ByteReader.check(holder >= 0 && holder < holders.size(), "unknown holder");
            ClaimState state = ClaimState.values()[(int) outcome % 3];
            int status = (int) outcome / 3;
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
