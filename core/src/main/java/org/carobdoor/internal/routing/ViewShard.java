package org.carobdoor.internal.routing;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * One shard of the view. All members but {@link #lock} and {@link #generation} are used with the
 * lock held.
 *
 * <p>Cells are linked in the order of their last change, so that a reader copies only what has
 * changed since its last visit. See {@link ViewSnapshot} for the source of the idea.
 */
final class ViewShard {
    final ReentrantLock lock = new ReentrantLock();
    private final Map<EndpointId, EndpointCell> cells = new HashMap<>();
    private @Nullable EndpointCell newest;

    /** Grows with each change. Volatile, so that a reader can skip an unchanged shard unlocked. */
    volatile long generation;

    /** A reader whose generation is lower has missed the removal of a cell. */
    long removedGeneration;

    @Nullable EndpointCell find(EndpointId id) {
        return cells.get(id);
    }

    EndpointCell add(EndpointRecord record, long halfLifeMillis) {
        EndpointCell cell = new EndpointCell(record, halfLifeMillis);
        cells.put(record.id(), cell);
        touch(cell);
        return cell;
    }

    /** Marks {@code cell} as the most recently changed one. */
    // The lock is held, so the increment is not a race.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void touch(EndpointCell cell) {
        unlink(cell);
        cell.generation = ++generation;
        cell.older = newest;
        if (newest != null) {
            newest.newer = cell;
        }
        newest = cell;
    }

    /** Returns whether {@code cell} has been forgotten while requests were still counted there. */
    boolean isRemoved(EndpointCell cell) {
        return cells.get(cell.record().id()) != cell;
    }

    Iterable<EndpointCell> all() {
        return cells.values();
    }

    @Nullable EndpointCell newest() {
        return newest;
    }

    /** Removes the cells of endpoints that were gone before {@code before}. */
    // The lock is held, so the increment is not a race.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void forgetGone(Instant before) {
        var iterator = cells.values().iterator();
        while (iterator.hasNext()) {
            EndpointCell cell = iterator.next();
            if (cell.goneSince != null && cell.goneSince.isBefore(before)) {
                iterator.remove();
                unlink(cell);
                removedGeneration = ++generation;
            }
        }
    }

    private void unlink(EndpointCell cell) {
        if (cell.newer != null) {
            cell.newer.older = cell.older;
        } else if (newest == cell) {
            newest = cell.older;
        }
        if (cell.older != null) {
            cell.older.newer = cell.newer;
        }
        cell.newer = null;
        cell.older = null;
    }
}
