package org.carobdoor.internal.work;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.carobdoor.NodeId;
import org.junit.jupiter.api.Test;

/** Guards against ids from which the first owner cannot be restored. */
final class RequestIdTest {

    @Test
    void textNamesFirstOwner() {
        RequestId id = RequestId.create(new NodeId("entry/1 \u00e9"), new Random(1));
        assertThat(RequestId.parse(id.toString())).hasValue(id);
        assertThat(id.toString()).matches("[0-9a-f]{32}[.][A-Za-z0-9_-]+");
    }

    @Test
    void otherTextIsNoId() {
        assertThat(RequestId.parse("")).isEmpty();
        assertThat(RequestId.parse("0".repeat(32) + ".")).isEmpty();
        assertThat(RequestId.parse("0".repeat(32) + ".*")).isEmpty();
        assertThat(RequestId.parse("G".repeat(32) + ".bjE")).isEmpty();
    }
}
