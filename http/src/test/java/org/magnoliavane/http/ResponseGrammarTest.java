package org.magnoliavane.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that a response is received if it follows the grammar of HTTP/1.1, and refused if it does not. In the cases, {ok}
 * stands for a status line, {sized} and {chunked} for the end of a head that announces a length or chunks, and {body} for a body.
 */
public class ResponseGrammarTest {
    private static final String HOST = "127.0.0.1";
    private static final String BODY = "the whole body";

    private static final List<String> MALFORMED_STATUS_LINES = List.of(
            "HTTP/1.1 000 Zero\r\n",
            "HTTP/1.1 099 Odd\r\n",
            "HTTP/1.1 20 OK\r\n",
            "HTTP/1.1 2x0 OK\r\n",
            "HTTP/1.1 600 Odd\r\n",
            "HTTP/1.1 999 Odd\r\n",
            "HTTP/1.1 2000 OK\r\n",
            "HTTP/1.1 -200 OK\r\n",
            "HTTP/1.1 +200 OK\r\n",
            "HTTP/1.1 200\u0001 OK\r\n",
            "HTTP/1.1 200\u0000OK\r\n",
            "HTTP/1.1 200\tOK\r\n",
            "HTTP/1.1 200OK\r\n",
            "HTTP/1.1  200 OK\r\n",
            "HTTP/1.1\t200 OK\r\n",
            "HTTP/1.1 200 O\u0000K\r\n",
            "HTTP/1.1 200 O\rK\r\n",
            "HTTP/1.1 200 OK\n",
            "HTTP/1.1 OK\r\n",
            "HTTP/1.1 \r\n",
            "HTTP/1.1\r\n",
            "HTTP/1.7 200 OK\r\n",
            "HTTP/2.0 200 OK\r\n",
            "HTTP/11 200 OK\r\n",
            "http/1.1 200 OK\r\n",
            "HTTQ/1.1 200 OK\r\n",
            " HTTP/1.1 200 OK\r\n",
            "\r\nHTTP/1.1 200 OK\r\n",
            "garbage\r\nHTTP/1.1 200 OK\r\n");

    private static final List<String> MALFORMED_LENGTHS = List.of(
            "Content-Length: x",
            "Content-Length: 1x",
            "Content-Length: 0x0e",
            "Content-Length: +14",
            "Content-Length: -14",
            "Content-Length: 14.0",
            "Content-Length: 1 4",
            "Content-Length: 1\r\n 4",
            "Content-Length: \"14\"",
            "Content-Length: 14;",
            "Content-Length:",
            "Content-Length: ,",
            "Content-Length: 14,",
            "Content-Length: 4, 14",
            "Content-Length: 14, 4",
            "Content-Length: 99999999999999999999",
            "Content-Length: 18446744073709551630",
            "Content-Length: 14\u0000",
            "Content-Length: 14\u0001",
            "Content-Length: 14\u007f",
            "Content-Length: \u0660",
            "Content-Length: 4\r\nContent-Length: 14",
            "Content-Length: 14\r\nContent-Length: 4",
            "Content-Length: 14\r\ncontent-length: x",
            "Content-Length: 4\r\nX-Other: a\r\nCONTENT-LENGTH: 14",
            "Content-Length 14",
            "Content-Length; 14",
            "Content-Length=14",
            "Content-Length",
            "Content-Length : 14",
            "Content-Length\t: 14",
            "Content Length: 14",
            "Content-Length\u0000: 14",
            "Content-\u0001Length: 14",
            " Content-Length: 14",
            "\tContent-Length: 14");

    /** Each stands alone in a head without a length, beside a sound length before it, and beside one after it. */
    private static final List<String> MALFORMED_FIELDS = List.of(
            "no field",
            "X-Name",
            "X-Name value",
            "X-Name; value",
            "X-Name=value",
            ": value",
            ":",
            " : value",
            " X-Name: value",
            "\tX-Name: value",
            " X-Name : value",
            "X-Name : value",
            "X-Name\t: value",
            "X Name: value",
            "X\tName: value",
            "X-Name\u0000: value",
            "X-\u0001Name: value",
            "X-Name\u001f: value",
            "X-\u007fName: value",
            "X-\bName: value",
            "X\rName: value",
            "X(Name: value",
            "X)Name: value",
            "X<Name>: value",
            "X@Name: value",
            "X,Name: value",
            "X;Name: value",
            "X\\Name: value",
            "\"X-Name\": value",
            "X/Name: value",
            "X[Name]: value",
            "X?Name: value",
            "X=Name: value",
            "X{Name}: value",
            "X-N\u00e4me: value",
            "X-\u0080Name: value",
            "X-Name: a\u0000b",
            "X-Name: a\u0001b",
            "X-Name: a\rb",
            "X-Name: a\nb",
            "X-Name: a\r\r",
            "X-Name: a\u007fb",
            "X-Name: value\nX-Other: value",
            "X-Name: value\r\n \t",
            "HTTP/1.1 200 OK");

    private static final List<String> MALFORMED_CODINGS = List.of(
            "Transfer-Encoding:",
            "Transfer-Encoding: ,",
            "Transfer-Encoding: chunked,",
            "Transfer-Encoding: identity",
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: chunked, chunked",
            "Transfer-Encoding: chunked, identity",
            "Transfer-Encoding: chunked;a=b",
            "Transfer-Encoding: xchunked",
            "Transfer-Encoding: chunkedx",
            "Transfer-Encoding: chunk ed",
            "Transfer-Encoding: \"chunked\"",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
            "Transfer-Encoding: chunked\u0000",
            "Transfer-Encoding: \u000bchunked",
            "Transfer-Encoding : chunked",
            "Transfer-Encoding\t: chunked",
            "Transfer-Encoding\u0001: chunked",
            "Transfer Encoding: chunked",
            "Transfer-Encoding chunked",
            "Transfer-Encoding; chunked",
            "Transfer-Encoding: chunked\r\nContent-Length: 24",
            "Content-Length: 24\r\nTransfer-Encoding: chunked");

    private static final List<String> MALFORMED_CHUNKS = List.of(
            "d\r\nthe whole body\r\n0\r\n\r\n",
            "f\r\nthe whole body\r\n0\r\n\r\n",
            "4\r\nthe whole body\r\n0\r\n\r\n",
            "e\r\nthe whole bodyXX0\r\n\r\n",
            "e\r\nthe whole body0\r\n\r\n",
            "e\nthe whole body\n0\n\n",
            "e\r\nthe whole body\n0\r\n\r\n",
            "e\r\nthe whole body\r\n0\n\n",
            "\r\nthe whole body\r\n0\r\n\r\n",
            "x\r\nthe whole body\r\n0\r\n\r\n",
            "0xe\r\nthe whole body\r\n0\r\n\r\n",
            "-e\r\nthe whole body\r\n0\r\n\r\n",
            "+e\r\nthe whole body\r\n0\r\n\r\n",
            " e\r\nthe whole body\r\n0\r\n\r\n",
            "e \r\nthe whole body\r\n0\r\n\r\n",
            "e;\r\nthe whole body\r\n0\r\n\r\n",
            "e;=a\r\nthe whole body\r\n0\r\n\r\n",
            "e;a=\"b\r\nthe whole body\r\n0\r\n\r\n",
            "e a\r\nthe whole body\r\n0\r\n\r\n",
            "e\u0000\r\nthe whole body\r\n0\r\n\r\n",
            "1000000000000000e\r\nthe whole body\r\n0\r\n\r\n",
            "ffffffffffffffff\r\nthe whole body\r\n0\r\n\r\n",
            "e\r\nthe whole body\r\n0\r\nno field\r\n\r\n",
            "e\r\nthe whole body\r\n0\r\nX-Na me: a\r\n\r\n",
            "e\r\nthe whole body\r\n0\r\n X-Name: a\r\n\r\n");

    private static final List<String> SOUND = List.of(
            "{ok}{sized}{body}",
            "HTTP/1.1 200 \r\n{sized}{body}",
            "HTTP/1.1 200\r\n{sized}{body}",
            "HTTP/1.1 200 a b \t\u00e4\r\n{sized}{body}",
            "HTTP/1.0 200 OK\r\n{sized}{body}",
            "HTTP/1.0 200 OK\r\n\r\n{body}",
            "{ok}\r\n{body}",
            "{ok}Connection: close\r\n\r\n{body}",
            "{ok}Content-Length:14\r\n\r\n{body}",
            "{ok}Content-Length: \t 14 \t \r\n\r\n{body}",
            "{ok}CONTENT-LENGTH: 14\r\n\r\n{body}",
            "{ok}Content-Length: 0014\r\n\r\n{body}",
            "{ok}Content-Length:\r\n 14\r\n\r\n{body}",
            "{ok}Content-Length: 14\r\nContent-Length: 14\r\n\r\n{body}",
            "{ok}Content-Length: 14, 14\r\n\r\n{body}",
            "{ok}Content-Length: 14\r\nX-Other: a\r\ncontent-length: 14\r\n\r\n{body}",
            "{ok}X-Empty:\r\n{sized}{body}",
            "{ok}X-Empty: \t\r\n{sized}{body}",
            "{ok}X-Folded: a\r\n b\r\n\tc\r\n{sized}{body}",
            "{ok}X-Value: \u00e4\u00ff\u0080\tb: c\r\n{sized}{body}",
            "{ok}!#$%&'*+-.^_`|~09azAZ: a\r\n{sized}{body}",
            "{ok}X-Same: a\r\nX-Same: b\r\n{sized}{body}",
            "{ok}" + "X-Many: a\r\n".repeat(90) + "{sized}{body}",
            "{ok}X-Long: " + "a".repeat(8000) + "\r\n{sized}{body}",
            "{ok}{chunked}e\r\n{body}\r\n0\r\n\r\n",
            "{ok}transfer-encoding:CHUNKED\r\n\r\nE\r\n{body}\r\n0\r\n\r\n",
            "{ok}Transfer-Encoding: \tchunked \r\n\r\nE\r\n{body}\r\n0\r\n\r\n",
            "{ok}Transfer-Encoding:\r\n chunked\r\n\r\nE\r\n{body}\r\n0\r\n\r\n",
            "{ok}{chunked}3\r\nthe\r\nb\r\n whole body\r\n0\r\n\r\n",
            "{ok}{chunked}" + toChunks(BODY),
            "{ok}{chunked}0000e\r\n{body}\r\n000\r\n\r\n",
            "{ok}{chunked}e;a\r\n{body}\r\n0;a=b;c=\"d;\\\" e\" ; f = g\r\n\r\n",
            "{ok}{chunked}e\r\n{body}\r\n0\r\nX-Trailer: a\r\nX-Empty:\r\n\r\n",
            "{ok}{chunked}0000e;a=b\r\n{body}\r\n0\r\nX-Trailer: a\r\n b\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n{ok}{sized}{body}",
            "HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n{ok}{chunked}e\r\n{body}\r\n0\r\n\r\n");

    private HttpClient client;

    @BeforeClass
    public void open() throws IOException {
        client = HttpClient.open("grammar-test");
    }

    @AfterClass
    public void close() throws IOException {
        client.close();
    }

    @DataProvider
    public Object[][] malformedHeads() {
        List<String> all = new ArrayList<>();
        MALFORMED_STATUS_LINES.forEach(l -> all.add(l + "{sized}{body}"));
        MALFORMED_LENGTHS.forEach(l -> all.add("{ok}" + l + "\r\n\r\n{body}"));
        MALFORMED_LENGTHS.forEach(l -> all.add("{ok}X-Other: a\r\n" + l + "\r\nX-Last: b\r\n\r\n{body}"));
        for (String field : MALFORMED_FIELDS) {
            all.add("{ok}" + field + "\r\n\r\n{body}");
            all.add("{ok}" + field + "\r\n{sized}{body}");
            all.add("{ok}Content-Length: 14\r\n" + field + "\r\n\r\n{body}");
            all.add("HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n{ok}{sized}{body}");
        }
        return toRows(all);
    }

    @DataProvider
    public Object[][] malformedBodies() {
        List<String> all = new ArrayList<>();
        MALFORMED_CODINGS.forEach(c -> all.add("{ok}" + c + "\r\n\r\ne\r\n{body}\r\n0\r\n\r\n"));
        MALFORMED_CHUNKS.forEach(c -> all.add("{ok}{chunked}" + c));
        all.add("HTTP/1.0 200 OK\r\n{chunked}e\r\n{body}\r\n0\r\n\r\n");
        all.add("HTTP/1.1 204 No Content\r\n{chunked}0\r\n\r\n");
        all.add("HTTP/1.1 204 No Content\r\n{sized}{body}");
        all.add("HTTP/1.1 103 Early Hints\r\n{chunked}0\r\n\r\n{ok}{sized}{body}");
        return toRows(all);
    }

    @DataProvider
    public Object[][] responsesWithSurplusBytes() {
        return toRows(List.of(
                "{ok}Content-Length: 4\r\n\r\n{body}",
                "{ok}Content-Length: 0\r\n\r\n{body}",
                "{ok}{sized}{body}\r\n",
                "{ok}{chunked}0\r\n\r\n{body}",
                "HTTP/1.1 204 No Content\r\n\r\n{body}",
                "HTTP/1.1 304 Not Modified\r\n{sized}{body}"));
    }

    @DataProvider
    public Object[][] soundResponses() {
        return toRows(SOUND);
    }

    /** Guards against a body that is not the server's, and against lines that are passed on as if they were headers. */
    @Test(dataProvider = "malformedHeads")
    public void aResponseWhoseHeadIsMalformedIsRefused(String text) throws Exception {
        assertRefused(text);
    }

    /** Guards against framing that is received as the body, and against bodies that lack a part. */
    @Test(dataProvider = "malformedBodies")
    public void aResponseWhoseBodyIsMalformedIsRefused(String text) throws Exception {
        assertRefused(text);
    }

    /** Guards against a body that is cut by a wrong length, as far as the rest arrives with it. */
    @Test(dataProvider = "responsesWithSurplusBytes")
    public void aResponseWithMoreBytesThanItsLengthIsRefused(String text) throws Exception {
        assertEquals(receive(text, false), Optional.empty());
    }

    /** A server in trouble may answer twice; the first response is complete. */
    @Test
    public void aResponseBeforeAnotherOneIsReceived() throws Exception {
        String one = "{ok}{sized}{body}";
        assertEquals(receive(one + one, false), Optional.of("200 " + BODY));
        assertEquals(receive("{ok}{chunked}e\r\n{body}\r\n0\r\n\r\n" + one, false), Optional.of("200 " + BODY));
    }

    @Test(dataProvider = "soundResponses")
    public void aSoundResponseIsReceived(String text) throws Exception {
        assertEquals(receive(text, false), Optional.of("200 " + BODY));
        assertEquals(receive(text, true), Optional.of("200 " + BODY));
    }

    @Test
    public void aResponseWithoutABodyIsReceived() throws Exception {
        for (String head : List.of(
                "HTTP/1.1 204 No Content\r\n\r\n",
                "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\n{sized}",
                "HTTP/1.1 304 Not Modified\r\n{chunked}")) {
            assertEquals(receive(head, false), Optional.of(head.substring(9, 12) + " "), head);
            assertEquals(receive(head, true), Optional.of(head.substring(9, 12) + " "), head);
        }
        assertEquals(receive("HEAD", "{ok}{sized}", false), Optional.of("200 "));
        assertEquals(receive("HEAD", "{ok}{chunked}", false), Optional.of("200 "));
    }

    /** Names, values and repeated fields are those of the server. */
    @Test
    public void theFieldsOfASoundHeadAreReceived() throws Exception {
        HttpResponse response =
                send("GET", "{ok}X-A:a\r\nX-B: \u00e4\t b \r\nX-Empty:\r\nX-Folded: a\r\n  b\r\n{sized}{body}", false);
        assertEquals(response.findHeader("x-a"), Optional.of("a"));
        assertEquals(response.findHeader("x-b"), Optional.of("\u00e4\t b"));
        assertEquals(response.findHeader("x-empty"), Optional.of(""));
        assertEquals(response.findHeader("x-folded").orElseThrow().replaceAll(" +", " "), "a b");
        assertEquals(response.findHeader("content-length"), Optional.of("14"));
    }

    @Test
    public void aHeadThatIsTooLargeIsRefused() throws Exception {
        assertRefused("{ok}X-Long: " + "a".repeat(9000) + "\r\n{sized}{body}");
        assertRefused("{ok}{chunked}e;a=" + "a".repeat(9000) + "\r\n{body}\r\n0\r\n\r\n");
        assertRefused("{ok}{chunked}e\r\n{body}\r\n0\r\n" + "X-Trailer: a\r\n".repeat(900) + "\r\n");
    }

    private void assertRefused(String text) throws Exception {
        assertEquals(receive(text, false), Optional.empty(), "as a whole");
        assertEquals(receive(text, true), Optional.empty(), "in single bytes");
    }

    private Optional<String> receive(String text, boolean inBytes) throws Exception {
        return receive("GET", text, inBytes);
    }

    /** Gets status and body of a response, if it is received. */
    private Optional<String> receive(String method, String text, boolean inBytes) throws Exception {
        try {
            HttpResponse response = send(method, text, inBytes);
            return Optional.of(response.status() + " " + new String(response.body(), StandardCharsets.ISO_8859_1));
        } catch (ExecutionException e) {
            assertTrue(e.getCause() instanceof IOException, e.toString());
            return Optional.empty();
        }
    }

    private HttpResponse send(String method, String text, boolean inBytes) throws Exception {
        byte[] bytes = text.replace("{ok}", "HTTP/1.1 200 OK\r\n")
                .replace("{sized}", "Content-Length: 14\r\n\r\n")
                .replace("{chunked}", "Transfer-Encoding: chunked\r\n\r\n")
                .replace("{body}", BODY)
                .getBytes(StandardCharsets.ISO_8859_1);
        try (ServerSocket server = new ServerSocket()) {
            server.bind(new InetSocketAddress(HOST, 0));
            CompletableFuture<HttpResponse> response =
                    client.send(HttpRequest.of(method, HOST, server.getLocalPort(), "/"));
            try (Socket socket = server.accept()) {
                socket.setTcpNoDelay(true);
                RequestHeads.read(socket.getInputStream());
                write(socket.getOutputStream(), bytes, inBytes);
            } catch (IOException e) {
                // The client closes the connection when it has seen enough.
            }
            return response.get(5, TimeUnit.SECONDS);
        }
    }

    private static void write(OutputStream out, byte[] bytes, boolean inBytes) throws IOException {
        if (!inBytes) {
            out.write(bytes);
            return;
        }
        for (byte next : bytes) {
            out.write(next);
        }
    }

    private static String toChunks(String body) {
        StringBuilder chunks = new StringBuilder();
        for (char next : body.toCharArray()) {
            chunks.append("1\r\n").append(next).append("\r\n");
        }
        return chunks + "0\r\n\r\n";
    }

    private static Object[][] toRows(List<String> texts) {
        return texts.stream().map(t -> new Object[] {t}).toArray(Object[][]::new);
    }
}
