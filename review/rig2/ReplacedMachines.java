import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Machines are removed for good without notice, one after the other, and each is replaced by one with another name at another
 * address. Without the disruption none is removed.
 *
 * <p>Broken if, long after the last replacement, the directory of a router names the address of a machine that is gone.
 */
public final class ReplacedMachines extends Case {
    private static final int MACHINES = 3;
    private static final int REPLACEMENTS = 3;

    /** Time between the loss of a machine and the start of the next one: that of the list of troubles of the site. */
    private static final int GAP_MILLIS = 2000;

    /** Time in which the routers notice a loss before the next one: more than the contact time. */
    private static final int SETTLE_MILLIS = 4000;

    /** Time after the last replacement from which answers count: the recovery time, more than three lifetimes of an answer. */
    private static final int RECOVERY_MILLIS = 12_000;

    private static final int QUESTIONS = 10;
    private static final Pattern ADDRESS = Pattern.compile("[0-9]+(\\.[0-9]+){3}:[0-9]+");

    private ReplacedMachines() throws IOException {}

    public static void main(String[] args) throws IOException {
        main(new ReplacedMachines(), args);
    }

    @Override
    void prepare() throws IOException {
        for (int i = 0; i < 2; i++) {
            new Worker(store, address(100 + i), "i-" + i, "app", (worker, request, socket) -> Worker.write(
                    socket, Worker.ranHead(200, request) + "Content-Length: 2\r\n\r\nok"));
        }
        startRouters(MACHINES);
    }

    @Override
    boolean run() throws Exception {
        Set<Router> live = new HashSet<>(routers);
        Map<String, Long> goneSince = new HashMap<>();
        Thread.sleep(SETTLE_MILLIS);
        for (int i = 0; trouble && i < REPLACEMENTS; i++) {
            Router lost = routers.get(i);
            lost.end();
            live.remove(lost);
            goneSince.put(lost.host + ":" + lost.callers, System.nanoTime());
            log(lost.name + " at " + lost.host + ":" + lost.callers + " is gone for good");
            Thread.sleep(GAP_MILLIS);
            Router added = startRouter(false);
            added.awaitReady();
            live.add(added);
            log(added.name + " at " + added.host + ":" + added.callers + " is ready");
            Thread.sleep(SETTLE_MILLIS);
        }
        Thread.sleep(RECOVERY_MILLIS);
        int named = 0;
        int dead = 0;
        for (int i = 0; i < QUESTIONS; i++) {
            for (Router router : live) {
                Matcher address = ADDRESS.matcher(ask(router));
                StringBuilder line = new StringBuilder(router.name + " names");
                while (address.find()) {
                    Long since = goneSince.get(address.group());
                    named++;
                    dead += since == null ? 0 : 1;
                    line.append(' ').append(address.group());
                    if (since != null) {
                        line.append(" (gone for ")
                                .append((System.nanoTime() - since) / 1_000_000_000)
                                .append(" s)");
                    }
                }
                log(line.toString());
            }
            Thread.sleep(1000);
        }
        log("addresses named=" + named + " of machines that are gone=" + dead);
        return dead > 0;
    }

    private String ask(Router router) throws IOException {
        String question = "GET /v1/resolve?name=" + HOST + "&region=r1&zone=z1 HTTP/1.1\r\nHost: x\r\n\r\n";
        Http.Message answer = Http.call(router.host, router.directory, Http.bytes(question), 1000);
        return answer == null ? "" : answer.text();
    }
}
