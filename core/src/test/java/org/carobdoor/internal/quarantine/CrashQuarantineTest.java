package org.carobdoor.internal.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.carobdoor.internal.store.StoreRevision;
import org.carobdoor.message.CrashId;
import org.carobdoor.message.CrashReport;
import org.carobdoor.message.FeatureClearance;
import org.carobdoor.message.QuarantineEntry;
import org.carobdoor.message.QuarantineNotice;
import org.carobdoor.message.RequestFeature;
import org.carobdoor.message.RequestFeature.Kind;
import org.carobdoor.message.RequestFeatures;
import org.carobdoor.message.RequestPattern;
import org.junit.jupiter.api.Test;

/**
 * Guards against evidence that is counted twice, forged or unbounded, and against endless entries.
 */
final class CrashQuarantineTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long WALL_MILLIS = 1_700_000_000_000L;
    private static final RequestFeature DEADLY = part(0xdead);

    private final CrashQuarantine q = CrashQuarantine.create("n1@1", new Random(1));
    private long nextOwn = 1_000;

    private static RequestFeature part(long id) {
        return new RequestFeature(Kind.PROMPT_PART, id);
    }

    private RequestFeatures request(RequestFeature... shared) {
        return new RequestFeatures(List.of(shared), part(nextOwn++));
    }

    private static long millis(long nanos) {
        return WALL_MILLIS + nanos / 1_000_000;
    }

    private static CrashReport report(String endpoint, long nanos, RequestFeatures... requests) {
        return new CrashReport(new CrashId(endpoint, millis(nanos)), List.of(requests));
    }

    private List<QuarantineEntry> crash(String endpoint, long nanos, RequestFeatures... requests) {
        return q.apply(report(endpoint, nanos, requests), nanos, millis(nanos));
    }

    private void quarantine(long startNanos, RequestFeature... shared) {
        for (int i = 0; i < CrashSuspicions.CRASH_THRESHOLD; i++) {
            crash("i-" + i, startNanos + i * SECOND, request(shared));
        }
        assertThat(q.find(request(shared))).isPresent();
    }

    @Test
    void repeatedAndLateReportsOfOneCrashCountOnce() {
        CrashReport r = report("i-1", 0, request(DEADLY), request(DEADLY));
        for (long at : new long[] {0, 1, SECOND / 2, 30 * SECOND, 60 * SECOND}) {
            assertThat(q.apply(r, at, millis(at))).isEmpty();
        }
        assertThat(crash("i-2", 61 * SECOND, request(DEADLY))).isEmpty();
        assertThat(crash("i-3", 62 * SECOND, request(DEADLY))).hasSize(1);
    }

    @Test
    void reportsOfOneCrashByNodesWithDifferentClocksCountOnce() {
        q.apply(report("i-1", 0, request(DEADLY)), 0, WALL_MILLIS);
        q.apply(report("i-1", 900 * SECOND, request(DEADLY)), 1_000, WALL_MILLIS);
        q.apply(report("i-1", -900 * SECOND, request(DEADLY)), 2_000, WALL_MILLIS);
        assertThat(q.isEmpty()).isTrue();
    }

    @Test
    void simultaneousCrashesCountOnce() {
        for (int i = 0; i < 10; i++) {
            assertThat(crash("i-" + i, i * 1_000_000L, request(DEADLY))).isEmpty();
        }
    }

    @Test
    void clearanceThatOvertakesItsReportStillClears() {
        CrashId early = new CrashId("i-0", millis(0));
        q.apply(new FeatureClearance(DEADLY, List.of(early)), 0);
        crash("i-0", 0, request(DEADLY));
        crash("i-1", SECOND, request(DEADLY));
        assertThat(crash("i-2", 2 * SECOND, request(DEADLY))).isEmpty();
        assertThat(crash("i-3", 3 * SECOND, request(DEADLY))).hasSize(1);
    }

    @Test
    void answerToARequestSentBeforeACrashDoesNotClearIt() {
        crash("i-0", SECOND, request(DEADLY));
        crash("i-1", 2 * SECOND, request(DEADLY));
        assertThat(q.recordAnswer(request(DEADLY), 0, 3 * SECOND)).isEmpty();
        assertThat(crash("i-2", 20 * SECOND, request(DEADLY))).hasSize(1);
    }

    @Test
    void answerToARequestSentAfterTheCrashesClearsThem() {
        crash("i-0", SECOND, request(DEADLY));
        crash("i-1", 2 * SECOND, request(DEADLY));
        assertThat(q.recordAnswer(request(DEADLY), 3 * SECOND, 4 * SECOND)).hasSize(1);
        assertThat(crash("i-2", 20 * SECOND, request(DEADLY))).isEmpty();
    }

    @Test
    void patternIsNarrowedByACrashWithOtherParts() {
        quarantine(0, part(1), DEADLY);
        assertThat(q.find(request(part(2), DEADLY))).isEmpty();
        assertThat(q.find(request(part(1)))).isEmpty();
        crash("i-9", 10 * SECOND, request(part(2), DEADLY));
        assertThat(q.find(request(part(3), DEADLY))).isPresent();
        assertThat(q.find(request(part(1)))).isEmpty();
    }

    @Test
    void reportStaysSmallButFindsACauseAmongVeryManyParts() {
        int found = 0;
        for (int i = 0; i < 400 && q.isEmpty(); i++) {
            List<RequestFeature> shared = new ArrayList<>();
            for (int p = 0; p < 200; p++) {
                shared.add(part(nextOwn++));
            }
            shared.add(100, DEADLY);
            RequestFeatures r = new RequestFeatures(shared, part(nextOwn++));
            long at = i * SECOND;
            Optional<CrashReport> report =
                    q.report(new CrashId("i-" + i, millis(at)), List.of(r), at);
            assertThat(report.orElseThrow().requests().getFirst().shared().size())
                    .isAtMost(CrashSuspicions.MAX_REPORTED_FEATURES);
            q.applyOwn(report.orElseThrow(), at, millis(at));
            found++;
        }
        assertThat(found).isLessThan(400);
        assertThat(q.find(request(DEADLY))).isPresent();
    }

    @Test
    void entriesAreBoundedAndTheOneRequestedLongestAgoGoes() {
        for (int i = 0; i <= QuarantineTable.MAX_ENTRIES; i++) {
            quarantine(i * 100 * SECOND, part(1_000_000 + i));
        }
        assertThat(q.size()).isEqualTo(QuarantineTable.MAX_ENTRIES);
        assertThat(q.find(request(part(1_000_000)))).isEmpty();
        assertThat(q.find(request(part(1_000_001)))).isPresent();
    }

    @Test
    void liftedEntryIsNotTakenFromAPeerThatStillHasIt() {
        quarantine(0, DEADLY);
        QuarantineEntry entry = q.entries().getFirst();
        q.put(entry, 5, 4 * SECOND);
        assertThat(q.remove(entry.pattern(), 6)).isTrue();
        assertThat(q.apply(new QuarantineNotice(List.of(entry)), 5 * SECOND)).isEmpty();
        assertThat(q.isEmpty()).isTrue();
    }

    @Test
    void trialIsGrantedOnceByTheWriteOfItsEntry() {
        quarantine(0, DEADLY);
        QuarantineEntry entry = q.entries().getFirst();
        q.put(entry, 5, 4 * SECOND);
        long due = QuarantineTable.FIRST_TRIAL_MILLIS * 1_000_000 + 10 * SECOND;
        assertThat(q.decide(request(DEADLY), due, millis(due)))
                .isInstanceOf(QuarantineDecision.Refused.class);
        List<QuarantineStoreStep> steps = q.dueSteps(due, millis(due));
        assertThat(steps).hasSize(1);
        assertThat(q.decide(request(DEADLY), due, millis(due)))
                .isInstanceOf(QuarantineDecision.Refused.class);
        q.stepWritten(steps.getFirst(), 6, due);
        RequestFeatures trial = request(DEADLY);
        assertThat(q.decide(trial, due, millis(due))).isInstanceOf(QuarantineDecision.Trial.class);
        assertThat(q.decide(request(DEADLY), due, millis(due)))
                .isInstanceOf(QuarantineDecision.Refused.class);
        // An answered trial ends the entry.
        q.recordAnswer(trial, due, due + SECOND);
        assertThat(q.dueSteps(due + 10 * SECOND, millis(due)))
                .containsExactly(new QuarantineStoreStep.Delete(entry.pattern(), 6));
    }

    @Test
    void entryThatNoRequestMatchesForADayIsDeleted() {
        quarantine(0, DEADLY);
        q.put(q.entries().getFirst(), 5, 4 * SECOND);
        long almost = 23L * 3_600 * SECOND;
        long late = 25L * 3_600 * SECOND;
        assertThat(q.dueSteps(almost, millis(almost))).isEmpty();
        assertThat(q.dueSteps(late, millis(late)))
                .containsExactly(
                        new QuarantineStoreStep.Delete(new RequestPattern(List.of(DEADLY)), 5));
    }

    @Test
    void entriesThatTheStoreHasLostAreWrittenAgain() {
        quarantine(0, DEADLY);
        QuarantineEntry entry = q.entries().getFirst();
        q.put(entry.withTrial(millis(900 * SECOND), millis(SECOND)), 5, 4 * SECOND);
        assertThat(q.removeMissing(Set.of(), StoreRevision.of(1, 3), 5 * SECOND)).isEmpty();
        assertThat(q.find(request(DEADLY))).isPresent();
        long due = 14 * SECOND;
        QuarantineStoreStep step = q.dueSteps(due, millis(due)).getFirst();
        assertThat(step).isInstanceOf(QuarantineStoreStep.Create.class);
        q.stepWritten(step, StoreRevision.of(1, 4), due);
        // A second return, from a copy in which the trial has not been made yet.
        q.put(entry, StoreRevision.of(2, 3), due);
        due += 9 * SECOND;
        assertThat(q.dueSteps(due, millis(due)))
                .containsExactly(
                        new QuarantineStoreStep.Update(
                                entry.withTrial(millis(900 * SECOND), millis(SECOND)),
                                StoreRevision.of(2, 3)));
    }

    @Test
    void entryThatCouldNotBeWrittenIsWrittenAsSoonAsTheStoreAnswersAgain() {
        crash("i-1", 0, request(DEADLY));
        crash("i-2", SECOND, request(DEADLY));
        long decided = 2 * SECOND;
        q.applyOwn(report("i-3", decided, request(DEADLY)), decided, millis(decided));
        long tried = 3 * SECOND;
        QuarantineStoreStep step = q.dueSteps(tried, millis(tried)).getFirst();
        q.storeRegained(tried);
        assertThat(q.dueSteps(tried, millis(tried))).isEmpty();
        q.stepFailed(step);
        q.storeRegained(tried + SECOND / 2);
        assertThat(q.dueSteps(tried + SECOND / 2, millis(tried + SECOND / 2)))
                .containsExactly(step);
    }

    @Test
    void entryThatEndedIsDeletedAgain() {
        quarantine(0, DEADLY);
        QuarantineEntry entry = q.entries().getFirst();
        q.put(entry, 5, 4 * SECOND);
        q.remove(entry.pattern(), 6);
        q.put(entry, StoreRevision.of(1, 5), 5 * SECOND);
        long due = 9 * SECOND;
        assertThat(q.dueSteps(due, millis(due)))
                .containsExactly(
                        new QuarantineStoreStep.Delete(entry.pattern(), StoreRevision.of(1, 5)));
    }
}
