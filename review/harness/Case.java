import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Runs a case, with or without its disruption, and turns its result into an exit code. */
final class Case {
  private static final long LIMIT_MS = 118_000;

  private Case() {}

  /** The body of a case. */
  interface Body {
    /**
     * Runs the case.
     *
     * @param trouble whether the disruption takes place
     * @return how the rule was broken, or empty if it held
     * @throws IOException if the case cannot run
     */
    Optional<String> run(Deployment deployment, Record record, boolean trouble)
        throws IOException, InterruptedException;
  }

  /**
   * Runs a case and exits: with 1 if the rule was broken, 0 if it held, 2 if it could not run.
   *
   * @param arguments the root of the repository and the path of the record
   */
  static void main(String[] arguments, Body body) throws IOException {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Thread.ofPlatform().daemon().start(Case::exitAfterLimit);
    int code;
    try (Record record = new Record(Path.of(arguments[1]));
        Deployment deployment = new Deployment(Path.of(arguments[0]).toAbsolutePath(), record)) {
      Optional<String> broken = body.run(deployment, record, trouble);
      record.line("%s", broken.map(each -> "BROKEN: " + each).orElse("held"));
      System.out.println(broken.map(each -> "broken: " + each).orElse("held"));
      code = broken.isPresent() ? 1 : 0;
    } catch (IOException | RuntimeException | InterruptedException failed) {
      failed.printStackTrace();
      code = 2;
    }
    System.exit(code);
  }

  private static void exitAfterLimit() {
    try {
      TimeUnit.MILLISECONDS.sleep(LIMIT_MS);
      System.err.println("the case did not end in time");
      System.exit(2);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
