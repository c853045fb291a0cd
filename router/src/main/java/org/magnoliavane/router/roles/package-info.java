/** Changes the roles of prefill and decode workers as the load changes. */
package org.magnoliavane.router.roles;
