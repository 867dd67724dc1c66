package org.hornbeamward.pgm.cli;

/** Exit codes of the program. docs/cli.md documents them; their meaning never changes. */
public final class ExitCodes {
    /** The operation succeeded. */
    public static final int DONE = 0;

    /** A rule refused the operation; nothing was changed. */
    public static final int REFUSED = 1;

    /** Wrong usage or bad input; nothing was changed. */
    public static final int BAD_INPUT = 2;

    /** Another change was accepted first; read the current version and repeat. */
    public static final int VERSION_CONFLICT = 3;

    /** No entry instance could do the operation; nothing was changed. */
    public static final int UNREACHABLE = 4;

    /** The operation may have taken effect; repeat with the same command id. */
    public static final int OUTCOME_UNKNOWN = 5;

    /** An internal error of the program. */
    public static final int INTERNAL_FAULT = 6;

    private ExitCodes() {}
}
