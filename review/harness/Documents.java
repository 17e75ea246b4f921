import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Desired states with one service, in the form of the protocol page. */
final class Documents {
  static final String HOST = "hulo84.example";
  static final String SERVICE = "wuno96b";
  static final String PATH = "/xapu221/ny95/";

  private static final String ROUTE =
      """
      {"name":"r-%s","host":"%s","pathPrefix":"%s","kind":"%s","timeout":"%dms",\
      "targetLatency":"400ms","priority":1,"service":"%s","maxAttempts":2}\
      """;

  private Documents() {}

  /**
   * Returns a desired state.
   *
   * @param routes the number of routes beside the one that serves requests
   * @param kind the kind of the route that serves requests
   * @param timeoutMs its time limit in milliseconds
   */
  static String document(int version, int routes, String kind, int timeoutMs) {
    String idle =
        IntStream.range(0, routes)
            .mapToObj(
                each ->
                    ","
                        + ROUTE.formatted(
                            "idle" + each,
                            HOST,
                            "/idle%d/q/".formatted(each),
                            "safe",
                            1_000,
                            SERVICE))
            .collect(Collectors.joining());
    return """
    {"version":%d,"routes":[%s%s],"services":[{"name":"%s","healthPath":"/health",\
    "maxConns":240,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":7.9}],\
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms",\
    "idleTimeout":"15000ms"}}\
    """
        .formatted(
            version, ROUTE.formatted("main", HOST, PATH, kind, timeoutMs, SERVICE), idle, SERVICE);
  }
}
