package org.hornbeamward.pgm.review;

/**
 * The definition of each review figure. docs/review.md contains the same texts. A changed
 * definition requires a new {@link org.hornbeamward.state.Figures#DEFINITION_VERSION}.
 */
public enum FigureDefinition {
    /** Requests with a measured latency. */
    REQUESTS(
            Scope.SERVICE,
            "requestCount",
            "requests",
            "Requests that an endpoint answered, by the month of the member's report; refused"
                    + " requests and those of unknown outcome are not counted."),
    /** Median latency. */
    P50(
            Scope.SERVICE,
            "p50Micros",
            "microseconds",
            "Latency that half of these requests did not exceed, from the time that the entry"
                    + " instance had received the request whole to the time that it had the"
                    + " answer whole."),
    /** 99th percentile. */
    P99(
            Scope.SERVICE,
            "p99Micros",
            "microseconds",
            "Latency that 99% of these requests did not exceed, measured like p50Micros."),
    /** 99.9th percentile. */
    P999(
            Scope.SERVICE,
            "p999Micros",
            "microseconds",
            "Latency that 99.9% of these requests did not exceed, measured like p50Micros."),
    /** Batch throughput. */
    FINISHED(
            Scope.TEAM,
            "finishedTaskCount",
            "tasks",
            "Batch tasks that finished in the month; the batch throughput."),
    /** Accepted placements. */
    STARTS(
            Scope.TEAM,
            "startCount",
            "placements",
            "Accepted placements of tasks, of services and batch, repeats included."),
    /** Evictions. */
    EVICTIONS(
            Scope.TEAM,
            "evictionCount",
            "placements",
            "Placements that ended because the system stopped them for a reason other than"
                    + " cancellation."),
    /** Batch tasks that failed permanently. */
    FAILED(
            Scope.TEAM,
            "failedTaskCount",
            "tasks",
            "Batch tasks that failed for good after failing on several workers."),
    /** Batch throughput while a failure domain is out of service. */
    FINISHED_DURING_MOVE(
            Scope.TEAM,
            "finishedDuringMoveCount",
            "tasks",
            "Batch tasks that finished while any failure domain was taken out.");

    /** The kind of object that a figure describes. */
    public enum Scope {
        /** One figure for each service. */
        SERVICE("services"),
        /** One figure for each team. */
        TEAM("teams");

        private final String mJsonKey;

        Scope(String jsonKey) {
            mJsonKey = jsonKey;
        }

        String jsonKey() {
            return mJsonKey;
        }
    }

    private final Scope mScope;
    private final String mKey;
    private final String mUnit;
    private final String mText;

    FigureDefinition(Scope scope, String key, String unit, String text) {
        mScope = scope;
        mKey = key;
        mUnit = unit;
        mText = text;
    }

    /**
     * Returns the kind of object that the figure describes.
     *
     * @return service or team
     */
    public Scope scope() {
        return mScope;
    }

    /**
     * Returns the key of the figure in JSON and CSV.
     *
     * @return the key
     */
    public String key() {
        return mKey;
    }

    /**
     * Returns the unit.
     *
     * @return unit of the value in JSON and CSV
     */
    public String unit() {
        return mUnit;
    }

    /**
     * Returns the definition.
     *
     * @return one sentence
     */
    public String text() {
        return mText;
    }
}
