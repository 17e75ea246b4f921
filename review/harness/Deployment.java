import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The processes of a small deployment, each on a loopback address of its own, started with the
 * {@code run} lines of the deploy file. Closing it ends them all and deletes their folders.
 */
final class Deployment implements AutoCloseable {
  /** Machines of the core that may be lost at the same time. */
  static final int TOLERATED_LOSSES = 2;

  private static final int PORT_COUNT = 5;
  private static final int MAX_ATTEMPTS = 200;

  private final Path root;
  private final Path folder;
  private final Record record;
  private final int network;
  private final int firstPort;
  private final Map<String, Process> processes = new TreeMap<>();
  private List<Integer> seeds = List.of(1, 2, 3);

  /**
   * Finds free ports and creates a temporary folder.
   *
   * @param root the root of the repository, in which the programs start
   * @param record gets a line for each start and end of a process
   * @throws IOException if no ports are free or the folder cannot be created
   */
  Deployment(Path root, Record record) throws IOException {
    this.root = root;
    this.record = record;
    folder = Files.createTempDirectory("waxwingbeam-review");
    network = ThreadLocalRandom.current().nextInt(2, 250);
    firstPort = findPorts();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
  }

  private int findPorts() throws IOException {
    return IntStream.range(0, MAX_ATTEMPTS)
        .map(attempt -> ThreadLocalRandom.current().nextInt(20_000, 32_000))
        .filter(first -> IntStream.range(0, PORT_COUNT).allMatch(each -> isFree(first + each)))
        .findFirst()
        .orElseThrow(() -> new IOException("no free ports on loopback"));
  }

  private boolean isFree(int port) {
    try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(address(1)))) {
      return probe.isBound();
    } catch (IOException taken) {
      return false;
    }
  }

  /** Returns the loopback address of a machine. */
  String address(int machine) {
    return "127.0.%d.%d".formatted(network, machine);
  }

  /** Returns the port on which every control replica serves operators and upstreams. */
  int controlPort() {
    return firstPort;
  }

  /** Returns the port on which every entry instance serves clients. */
  int frontPort() {
    return firstPort + 1;
  }

  /** Returns the port on which every entry instance reports whether it is ready. */
  int readyPort() {
    return firstPort + 2;
  }

  private String settings(String role, int machine, boolean bootstrap) {
    String seedAddresses =
        String.join(
            ",",
            seeds.stream()
                .map(each -> "\"%s:%d\"".formatted(address(each), controlPort()))
                .toList());
    boolean isControl = role.equals("control");
    String listen =
        isControl
            ? "control = \"%s:%d\"".formatted(address(machine), controlPort())
            : "front = \"%s:%d\"\nready = \"%s:%d\""
                .formatted(address(machine), frontPort(), address(machine), readyPort());
    String disk = isControl ? "dataDir = \"%s\"\n".formatted(dataFolder(machine)) : "";
    return """
    node = "%s-%d"
    role = "%s"
    machineClass = "%s"
    serves = ["%s"]
    ip = "%s"
    zone = "a"
    region = "r"
    internalPortRange = [%d,%d]
    seeds = [%s]
    bootstrap = %s
    countsAsLoss = %s
    discovery = "registration"
    entry = "vip"
    heartbeat = "1500ms"
    %s[zones]
    a = "r"
    [listen]
    %s
    [faultTolerance]
    machines = %d
    zones = 1
    regions = 0
    [bounds]
    seedLag = "3s"
    addrReuse = "2s"
    contact = "3000ms"
    ack = "4000ms"
    catchUp = "4s"
    drain = "2000ms"
    grace = "6s"
    configApply = "2000ms"
    retryBudgetRatio = 0.2
    budgetWindow = "10s"
    retryBudgetSlack = 60
    evacuation = "5000ms"
    recovery = "15s"
    probesPerS = 60
    """
        .formatted(
            role,
            machine,
            role,
            isControl ? "core" : "front",
            isControl ? "control" : "front",
            address(machine),
            firstPort + 3,
            firstPort + 4,
            seedAddresses,
            bootstrap,
            isControl,
            disk,
            listen,
            TOLERATED_LOSSES);
  }

  private Path dataFolder(int machine) {
    return folder.resolve("data-" + machine);
  }

  /** Names the machines that are the seeds in the settings of processes started from now on. */
  void useSeeds(List<Integer> machines) {
    seeds = List.copyOf(machines);
  }

  /**
   * Starts a program.
   *
   * @param role {@code control} or {@code entry}
   * @param machine the last number of its address
   * @param bootstrap whether the whole system starts for the first time
   * @throws IOException if it cannot be started
   */
  void start(String role, int machine, boolean bootstrap) throws IOException {
    String name = role + "-" + machine;
    if (role.equals("control")) {
      Files.createDirectories(dataFolder(machine));
    }
    Path settings =
        Files.writeString(folder.resolve(name + ".toml"), settings(role, machine, bootstrap));
    ProcessBuilder builder =
        new ProcessBuilder(command(role))
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("WAXWINGBEAM_BOOT", settings.toString());
    processes.put(name, builder.start());
    record.line("start %s bootstrap=%s seeds=%s", name, bootstrap, seeds);
  }

  private List<String> command(String role) throws IOException {
    List<String> lines = Files.readAllLines(root.resolve("deploy/system.toml"));
    String run =
        lines.stream()
            .dropWhile(line -> !line.equals("[roles." + role + "]"))
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow(() -> new IOException("deploy/system.toml: no run line of " + role));
    return List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
  }

  /** Sends a signal, such as {@code TERM} or {@code STOP}, to a process of this deployment. */
  void signal(String name, String signal) throws IOException, InterruptedException {
    record.line("signal %s to %s", signal, name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
        .inheritIO()
        .start()
        .waitFor();
  }

  /** Kills a process and waits for its end. */
  void kill(String name) throws InterruptedException {
    record.line("kill %s", name);
    Process process = processes.remove(name);
    process.destroyForcibly();
    process.waitFor(5, TimeUnit.SECONDS);
  }

  /** Waits until a process that was asked to stop has ended. */
  void awaitEnd(String name, long timeoutMs) throws InterruptedException {
    boolean ended = processes.remove(name).waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    record.line("%s %s", name, ended ? "has ended" : "still runs");
  }

  /** Returns the names of the processes that have ended by themselves. */
  List<String> ended() {
    return processes.entrySet().stream()
        .filter(each -> !each.getValue().isAlive())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Deletes the data folder of a control replica that does not run, as the loss of its disk. */
  void loseDisk(int machine) throws IOException {
    record.line("disk of control-%d is lost", machine);
    delete(dataFolder(machine));
  }

  /** Returns the lines of a process's log that contain a text. */
  List<String> logLines(String name, String text) throws IOException {
    Path log = folder.resolve(name + ".log");
    if (!Files.exists(log)) {
      return List.of();
    }
    try (Stream<String> lines = Files.lines(log)) {
      return lines.filter(line -> line.contains(text)).toList();
    }
  }

  private static void delete(Path path) throws IOException {
    try (Stream<Path> files = Files.walk(path)) {
      files.sorted(Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
    }
  }

  private void endAll() {
    processes.values().forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws IOException, InterruptedException {
    for (Process each : processes.values()) {
      each.destroyForcibly();
      each.waitFor(5, TimeUnit.SECONDS);
    }
    delete(folder);
  }
}
