package org.toucanrack.scenarios;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs all scenarios against deployments of real processes. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("org.toucanrack.scenarios")
class ScenariosTest {}
