import java.nio.file.Path;

/** Runs a case: its name, the root of the repository and the folder of the case. */
final class Case {
    interface Script {
        /** Returns whether the rule was kept. */
        boolean run(Path root, boolean trouble) throws Exception;
    }

    private Case() {}

    static void main(String[] arguments, Script script) {
        int status = 2;
        try {
            Path root = Path.of(arguments[0]);
            Log.open(Path.of(arguments[1]).resolve("record.txt"));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Log.line("case", trouble ? "with the disruption" : "without the disruption");
            boolean kept = script.run(root, trouble);
            Log.line("case", kept ? "the rule was kept" : "the rule was broken");
            status = kept ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
            Log.line("case", "could not run: " + e);
        }
        Entry.endAll();
        System.exit(status);
    }
}
