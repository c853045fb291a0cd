/** Changes the roles of workers as the load changes. */
package org.magnoliavane.router.roles;
