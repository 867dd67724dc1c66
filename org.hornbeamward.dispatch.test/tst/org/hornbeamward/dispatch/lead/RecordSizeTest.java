package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.junit.jupiter.api.Test;

/** Values that outgrow a record of the store, and what a leader commits beside them. */
class RecordSizeTest {
    private static final int IMAGE_COUNT = 40;
    private static final long LONG_MILLIS = 600_000;

    private final LeaderFixture mFixture = new LeaderFixture();

    private FakeWorker addWorker(String name, long cpuMillicores) {
        FakeWorker worker = mFixture.mWorkers.add(name, new Resources(cpuMillicores, 1_000_000, 0));
        mFixture.registerWorker(name);
        return worker;
    }

    /** Returns an image that is named by its digest. */
    private static String image(String kind, int number) {
        return String.format("registry.example/%s-%03d@sha256:%064x", kind, number, number);
    }

    private static StepSpec step(String image, boolean filler) {
        return new StepSpec(
                filler ? 1 : 2,
                new Resources(100, 100, 0),
                100_000,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                !filler,
                image,
                filler ? 0 : 100,
                filler,
                0);
    }

    /** Guards against learned interference that the store refuses, and with it every commit. */
    @Test
    void jobsRunAlthoughTheLearnedInterferenceOfManyImagesOutgrowsARecord() {
        FakeWorker large = addWorker("w3", 64_000);
        large.taskMillis = LONG_MILLIS;
        large.load = 10;
        mFixture.mWorkers.get("w1").draining = true;
        mFixture.mWorkers.get("w2").draining = true;
        mFixture.startDispatcher(1);
        for (int number = 0; number < IMAGE_COUNT; number++) {
            mFixture.submit("serving" + number, step(image("desk", number), false));
            mFixture.submit("filler" + number, step(image("batch", number), true));
        }
        mFixture.mLoop.advance(60_000);
        assertEquals(3 * IMAGE_COUNT, large.running().size());
        assertEquals(0, mFixture.mStore.tooLargeCount);

        large.taskMillis = 500;
        JobId small = mFixture.submit("small", LeaderFixture.step(1, 100));
        mFixture.mLoop.advance(2_000);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(small));
    }
}
