package org.magnoliavane.emulator;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class MainTest {

    @DataProvider
    public static Object[][] commandLines() {
        return new Object[][] {
            {2, new String[] {}},
            {2, new String[] {"bogus"}},
            {2, new String[] {"log", "--unknown"}},
            {2, new String[] {"log", "--port", "70000"}},
            {2, new String[] {"engine", "--role", "plain"}},
            {2, new String[] {"booking", "--crash-phase", "during"}},
            {2, new String[] {"load", "--nodes", "ftp://127.0.0.1:1"}},
            {1, new String[] {"vmlist", "--vms", "/nonexistent/vms.json"}},
            {0, new String[] {"engine", "--help"}},
        };
    }

    /** Guards against an exit status that makes a launcher accept a command line with a misspelt option. */
    @Test(dataProvider = "commandLines")
    public void theExitStatusShowsWhetherTheCommandLineIsValid(int status, String[] arguments) {
        assertEquals(Main.run(arguments), status);
    }
}
